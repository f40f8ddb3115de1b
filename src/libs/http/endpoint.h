#pragma once

#include <core/result.h>

#include <cstdint>
#include <optional>
#include <string>

#include <netinet/in.h>

namespace Verbena::Http {

/// \brief An IPv4 address and a port.
struct Endpoint
{
    sockaddr_in address{};

    /// \brief Parses \a text of the form "10.1.0.30:8782". Errors: InvalidArgument.
    static Core::Result<Endpoint> parse(const std::string &text);

    /// \brief Returns the endpoint in the form that parse() reads.
    std::string toString() const;

    /// \brief Returns the IP address without the port.
    std::string ipAddress() const;

    /// \brief Returns the endpoint with this port at another host, or nothing if \a ipAddress is invalid or the address of this endpoint.
    std::optional<Endpoint> atPeer(const std::string &ipAddress) const;
};

} // namespace Verbena::Http
