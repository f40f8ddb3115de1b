#pragma once

#include <core/time.h>

#include <chrono>
#include <optional>

namespace Verbena::Relay {

/// \brief Times at which the parts of an answer arrive, over all calls of its request.
class PartTimes
{
public:
    /// \brief Records that a part of the answer, or its end, arrived at \a now.
    void recordPart(Core::TimePoint now);

    /// \brief Returns the longest pause between two parts; nothing before the second one.
    std::optional<std::chrono::milliseconds> longestGap() const;

private:
    std::optional<Core::TimePoint> m_latest;
    std::optional<std::chrono::milliseconds> m_longestGap;
};

} // namespace Verbena::Relay
