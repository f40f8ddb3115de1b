#pragma once

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief Event counter whose value decays exponentially, so that older events count less.
class DecayingCount
{
public:
    /// \brief Counts an event at \a now.
    void add(Core::TimePoint now);

    /// \brief Returns the decayed count at \a now.
    double at(Core::TimePoint now) const;

private:
    double m_count = 0;
    Core::TimePoint m_updatedAt{};
};

} // namespace Verbena::Decisions
