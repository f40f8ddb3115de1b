#pragma once

#include "backendwatch.h"
#include "runmanager.h"

#include <core/result.h>
#include <observe/eventlog.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Settings {
class SettingsReader;
}

namespace Verbena::Agent {

/// \brief What kind of backend server an agent stands beside.
enum class BackendKind {
    Engine,
    Service,
};

/// \brief Where the files with keys are; without them the agent is open to everybody who can reach it.
struct AgentSecurity
{
    std::string secretKeyFile; ///< The agent's own CURVE key.
    std::string allowedKeysFile; ///< Public keys of the routers that may connect.

    bool isEnabled() const
    {
        return !secretKeyFile.empty();
    }
};

/// \brief Where status and metrics are served.
struct StatusListen
{
    std::string address;
    std::uint16_t port = 0;
};

/// \brief The settings of one agent process.
struct AgentSettings
{
    std::string name; ///< Name of the backend server it stands beside.
    Observe::LogOptions log;
    std::string endpoint; ///< Where routers connect, for instance "tcp://127.0.0.1:0".
    BackendKind kind = BackendKind::Engine;
    BackendWatchOptions backend;
    RunManagerOptions runs;
    AgentSecurity security;
    std::optional<StatusListen> status;
    std::string platformUrl; ///< Of the platform's table, object store and host list; empty if there is none.
    std::vector<std::string> treeFiles; ///< The settings tree, in YAML files; may be empty.
    std::chrono::microseconds leaveGrace{0}; ///< How long a leaving agent without work still refuses what comes.

    /// \brief Reads and checks a file. Errors name file, line and key of every problem.
    static Core::Result<AgentSettings> fromFile(const std::string &path);

    /// \brief Reads from \a reader; the errors are those of fromFile().
    static Core::Result<AgentSettings> read(Settings::SettingsReader &reader);
};

} // namespace Verbena::Agent
