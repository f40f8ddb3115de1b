#include "incarnation.h"

#include <random>

namespace Verbena::Standin {

std::uint64_t newIncarnation()
{
    constexpr std::uint64_t highest = (std::uint64_t{1} << 53) - 1;
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1, highest)(device);
}

} // namespace Verbena::Standin
