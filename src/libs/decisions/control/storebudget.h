#pragma once

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief A process's part of what the platform's store can take; a token bucket.
class StoreBudget
{
public:
    /// \brief Allows \a perSecond operations on average and \a burst at once.
    StoreBudget(double perSecond, double burst, Core::TimePoint now);

    /// \brief Takes one operation out of the budget; false, and nothing is taken, if there is none left.
    bool tryConsume(Core::TimePoint now);

    /// \brief When take() succeeds next.
    Core::TimePoint nextFree(Core::TimePoint now) const;

private:
    double levelAt(Core::TimePoint now) const;

    double m_perSecond;
    double m_burst;
    double m_level;
    Core::TimePoint m_updatedAt;
};

} // namespace Verbena::Decisions
