#pragma once

#include <core/result.h>
#include <observe/eventlog.h>

#include <string>

namespace Verbena::Settings {
class SettingsReader;
}

namespace Verbena::Agent {

/// \brief The settings of one agent process.
struct AgentSettings
{
    std::string name; ///< Name of the backend server it stands beside.
    std::string endpoint; ///< Where routers connect, for instance "tcp://127.0.0.1:0".
    std::string backendUrl; ///< Address of the backend server, for instance "http://127.0.0.1:8000".

    Observe::LogOptions log;

    /// \brief Reads and checks a file. Errors name file, line and key of every problem.
    static Core::Result<AgentSettings> fromFile(const std::string &path);

    /// \brief Asks \a reader for every key and finishes it.
    static Core::Result<AgentSettings> read(Settings::SettingsReader &reader);
};

} // namespace Verbena::Agent
