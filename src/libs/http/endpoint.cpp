#include "endpoint.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace Verbena::Http {

Core::Result<Endpoint> Endpoint::parse(const std::string &text)
{
    const auto fail = [&text] {
        return Core::Error{Core::ErrorCode::InvalidArgument, "http.endpoint", text, "This is not an IPv4 address with a port."};
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return fail();
    }
    Endpoint endpoint;
    endpoint.address.sin_family = AF_INET;
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &endpoint.address.sin_addr) != 1) {
        return fail();
    }
    std::uint16_t port = 0;
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(begin, end, port);
    if (error != std::errc() || rest != end) {
        return fail();
    }
    endpoint.address.sin_port = htons(port);
    return endpoint;
}

std::string Endpoint::toString() const
{
    return ipAddress() + ':' + std::to_string(ntohs(address.sin_port));
}

std::string Endpoint::ipAddress() const
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return text.data();
}

std::optional<Endpoint> Endpoint::atPeer(const std::string &ipAddress) const
{
    Endpoint peer = *this;
    if (inet_pton(AF_INET, ipAddress.c_str(), &peer.address.sin_addr) != 1 || peer.address.sin_addr.s_addr == address.sin_addr.s_addr) {
        return std::nullopt;
    }
    return peer;
}

} // namespace Verbena::Http
