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

/// \brief The kind of backend server that an agent serves.
enum class BackendKind {
    Engine,
    Service,
};

/// \brief Paths of the key files; without them, every process that can reach the agent may connect.
struct AgentSecurity
{
    std::string secretKeyFile; ///< Secret CURVE key of the agent.
    std::string allowedKeysFile; ///< Public keys of the routers that may connect.

    bool isEnabled() const
    {
        return !secretKeyFile.empty();
    }
};

/// \brief The addresses at which status and metrics are served.
struct StatusListen
{
    std::string address;
    std::uint16_t port = 0;
};

/// \brief The settings of one agent process.
struct AgentSettings
{
    std::string name; ///< Name of the backend server that the agent serves.
    Observe::LogOptions log;
    std::string endpoint; ///< Endpoint to which routers connect, for instance "tcp://127.0.0.1:0".
    BackendKind kind = BackendKind::Engine;
    BackendWatchOptions backend;
    RunManagerOptions runs;
    AgentSecurity security;
    std::optional<StatusListen> status;
    std::string platformUrl; ///< URL of the platform's table, object store and host list; empty if there is none.
    std::vector<std::string> treeFiles; ///< YAML files with the settings tree; may be empty.
    std::chrono::microseconds leaveGrace{0}; ///< Time for which a leaving agent without work goes on refusing requests.
    std::chrono::microseconds leaveTimeout{0}; ///< Time from the start of leaving after which a process that was asked to end cancels what still runs.

    /// \brief Reads and checks a file. The error names file, line and key of every problem.
    static Core::Result<AgentSettings> fromFile(const std::string &path);

    /// \brief Reads the settings from \a reader; errors as for fromFile().
    static Core::Result<AgentSettings> read(Settings::SettingsReader &reader);
};

} // namespace Verbena::Agent
