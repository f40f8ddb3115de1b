#pragma once

#include <core/result.h>

#include <cstdint>
#include <string>

#include <netinet/in.h>

namespace Verbena::Http {

/// \brief An IPv4 number and a port.
struct Endpoint
{
    sockaddr_in address{};

    /// \brief Reads "10.1.0.30:8782". Errors: InvalidArgument.
    static Core::Result<Endpoint> parse(const std::string &text);

    /// \brief As parse() reads it.
    std::string toString() const;
};

} // namespace Verbena::Http
