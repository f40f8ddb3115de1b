#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Verbena::Soak {

/// \brief What the host file of one process says.
struct HostSettings
{
    std::string name;
    std::string ip;
    std::string store; ///< Address, IP:PORT.
    std::chrono::seconds grace{6}; ///< From SIGTERM to SIGKILL.
    std::uint16_t firstPort = 0; ///< Of those for messages between processes.
    std::uint64_t memoryMegabytes = 0; ///< What the process may hold.
    std::string more; ///< Further lines.
};

/// \brief Returns the text of a host file.
std::string hostFileText(const HostSettings &settings);

/// \brief Returns the configuration \a version, in which \a newestPath exists besides the routes that always do.
nlohmann::json configurationRow(int version, const std::string &newestPath);

/// \brief Returns the row of a backend server of \a service at \a address with the version \a software; an engine has weights of \a weights.
nlohmann::json serverRow(const std::string &service, const std::string &address, const std::string &software, std::uint64_t weights);

} // namespace Verbena::Soak
