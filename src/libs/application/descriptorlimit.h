#pragma once

#include <cstdint>
#include <optional>

namespace Verbena::Application {

/// \brief Lets this process open as many descriptors as the system allows it; returns how many, or nothing if they are not limited.
std::optional<std::uint64_t> raiseDescriptorLimit();

} // namespace Verbena::Application
