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
    std::array<char, INET_ADDRSTRLEN> number{};
    inet_ntop(AF_INET, &address.sin_addr, number.data(), number.size());
    return std::string(number.data()) + ':' + std::to_string(ntohs(address.sin_port));
}

} // namespace Verbena::Http
