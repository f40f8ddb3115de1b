#pragma once

#include <chrono>
#include <optional>

namespace Verbena::Relay {

/// \brief Interface that tells how current this process's copy of the register of backend servers is.
class RegisterCopy
{
public:
    virtual ~RegisterCopy() = default;

    /// \brief Returns the maximum age of a change that may be missing in the copy; nothing before the register was read.
    virtual std::optional<std::chrono::milliseconds> registerAge() const = 0;

    /// \brief Asks the store for changes, unless such a request is pending. Returns false if no answer can be expected, as the store fails.
    virtual bool renewRegister() = 0;
};

} // namespace Verbena::Relay
