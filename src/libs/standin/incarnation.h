#pragma once

#include <cstdint>

namespace Verbena::Standin {

/// \brief A number that names one start of a stand-in and grows with each; JSON readers can hold it exactly.
std::uint64_t newIncarnation();

} // namespace Verbena::Standin
