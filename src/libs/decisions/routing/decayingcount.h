#pragma once

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief A count of events in which older ones weigh less.
class DecayingCount
{
public:
    /// \brief Counts an event at \a now.
    void add(Core::TimePoint now);

    /// \brief The count as of \a now.
    double at(Core::TimePoint now) const;

private:
    double m_count = 0;
    Core::TimePoint m_noted{};
};

} // namespace Verbena::Decisions
