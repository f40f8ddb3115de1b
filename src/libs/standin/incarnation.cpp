#include "incarnation.h"

#include <chrono>

namespace Verbena::Standin {

std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace Verbena::Standin
