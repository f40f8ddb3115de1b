#include "fieldvalue.h"

namespace Verbena::Observe {

std::string yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

std::string millisecondsText(std::optional<std::chrono::milliseconds> time)
{
    return time.has_value() ? std::to_string(time->count()) : "";
}

} // namespace Verbena::Observe
