#pragma once

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief A token bucket that limits the operations of one process on the platform's store to its share.
class StoreBudget
{
public:
    /// \brief Allows \a perSecond operations on average and \a burst at once.
    StoreBudget(double perSecond, double burst, Core::TimePoint now);

    /// \brief Consumes one operation of the budget. Returns false and consumes nothing if the budget is used up.
    bool tryConsume(Core::TimePoint now);

    /// \brief Returns the earliest time at which tryConsume() succeeds.
    Core::TimePoint nextFree(Core::TimePoint now) const;

private:
    double levelAt(Core::TimePoint now) const;

    double m_perSecond;
    double m_burst;
    double m_level;
    Core::TimePoint m_updatedAt;
};

} // namespace Verbena::Decisions
