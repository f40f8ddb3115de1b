#pragma once

#include <core/result.h>

#include <cstdint>
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
};

} // namespace Verbena::Http
