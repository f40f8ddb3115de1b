#include "idletimeout.h"

#include "fieldtext.h"

#include <cstdint>
#include <string_view>

namespace Verbena::Http {

namespace {

constexpr std::string_view parameter = "timeout=";

// Time for which a request that is sent at the end of the announced time may be under way.
constexpr std::chrono::milliseconds arrivalMargin{250};

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

std::optional<std::chrono::seconds> announcedIdleTimeout(std::chrono::milliseconds timeout)
{
    const auto announced = std::chrono::floor<std::chrono::seconds>(timeout - arrivalMargin);
    return announced.count() > 0 ? std::optional(announced) : std::nullopt;
}

std::string keepAliveText(std::chrono::seconds timeout)
{
    return std::string(parameter) + std::to_string(timeout.count());
}

} // namespace Verbena::Http
