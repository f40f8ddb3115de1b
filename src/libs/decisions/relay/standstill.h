#pragma once

#include <core/time.h>

#include <chrono>
#include <optional>

namespace Verbena::Decisions {

/// \brief Tells when a process that does something several times a second has stood still: frozen, or without a processor.
class Standstill
{
public:
    explicit Standstill(Core::TimePoint start);

    /// \brief The process does something at \a now. For how long it had not, if that is longer than a process that runs ever is silent.
    std::optional<std::chrono::milliseconds> note(Core::TimePoint now);

private:
    Core::TimePoint m_lastSign;
};

} // namespace Verbena::Decisions
