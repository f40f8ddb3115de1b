#pragma once

#include <core/result.h>

#include <string>

namespace Verbena::Agent {

/// \brief The settings of one agent process.
struct AgentSettings
{
    std::string name; ///< Name of the backend server it stands beside.
    std::string endpoint; ///< Where routers connect, for instance "tcp://127.0.0.1:0".
    std::string backendUrl; ///< Address of the backend server, for instance "http://127.0.0.1:8000".

    /// \brief Reads and checks a file. Errors name file, line and key of every problem.
    static Core::Result<AgentSettings> fromFile(const std::string &path);
};

} // namespace Verbena::Agent
