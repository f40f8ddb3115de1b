#pragma once

namespace Verbena::Decisions {

/// \brief Holds the retries of one router to a fraction of its successes, so that failures cannot multiply the load.
class RetryBudget
{
public:
    /// \brief Starts with \a atStart retries; each success adds \a fraction of one, up to \a capacity.
    RetryBudget(double fraction, double capacity, double atStart);

    void noteSuccess();

    /// \brief Takes one retry; false if there is none left.
    bool tryTake();

    double available() const;

private:
    double m_fraction;
    double m_capacity;
    double m_available;
};

} // namespace Verbena::Decisions
