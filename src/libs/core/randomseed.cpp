#include "randomseed.h"

#include <random>

namespace Verbena::Core {

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace Verbena::Core
