#include "idletimeout.h"

#include <charconv>
#include <cstdint>
#include <string_view>

namespace Verbena::Http {

namespace {

constexpr std::string_view parameter = "timeout=";

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::optional<std::chrono::seconds> timeoutIn(std::string_view item)
{
    if (!isSameFieldName(item.substr(0, parameter.size()), parameter)) {
        return std::nullopt;
    }
    const std::string_view number = item.substr(parameter.size());
    std::uint32_t seconds = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), seconds);
    return error == std::errc() && end == number.data() + number.size() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

std::optional<std::chrono::seconds> idleTimeout(const MessageHead &head)
{
    const std::string *field = head.field("Keep-Alive");
    std::string_view rest = field == nullptr ? std::string_view() : std::string_view(*field);
    while (!rest.empty()) {
        const std::size_t comma = rest.find(',');
        if (const auto timeout = timeoutIn(trimmed(rest.substr(0, comma)))) {
            return timeout;
        }
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
    return std::nullopt;
}

} // namespace Verbena::Http
