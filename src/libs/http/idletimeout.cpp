#include "idletimeout.h"

#include "fieldtext.h"

#include <cstdint>
#include <string_view>

namespace Verbena::Http {

namespace {

constexpr std::string_view parameter = "timeout=";

std::optional<std::chrono::seconds> timeoutIn(std::string_view item)
{
    if (!isSameFieldName(item.substr(0, parameter.size()), parameter)) {
        return std::nullopt;
    }
    const auto seconds = numberOf<std::uint32_t>(item.substr(parameter.size()));
    return seconds.has_value() ? std::optional(std::chrono::seconds(*seconds)) : std::nullopt;
}

} // namespace

std::optional<std::chrono::seconds> idleTimeout(const MessageHead &head)
{
    const std::string *field = head.field("Keep-Alive");
    std::optional<std::chrono::seconds> timeout;
    forEachItem(field == nullptr ? std::string_view() : std::string_view(*field),
        [&timeout](std::string_view item) { timeout = timeout.has_value() ? timeout : timeoutIn(item); });
    return timeout;
}

} // namespace Verbena::Http
