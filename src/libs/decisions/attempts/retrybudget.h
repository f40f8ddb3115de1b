#pragma once

namespace Verbena::Decisions {

/// \brief Limits the retries of one router to a fraction of its successes, so that failures cannot multiply the load.
class RetryBudget
{
public:
    /// \brief Creates a budget of \a atStart retries; each success adds \a fraction of a retry, up to \a capacity.
    RetryBudget(double fraction, double capacity, double atStart);

    /// \brief Adds the fraction of a retry that a success grants.
    void recordSuccess();

    /// \brief Consumes one retry; returns false if none is left.
    bool tryConsume();

    /// \brief Returns the number of retries that are left.
    double available() const;

private:
    double m_fraction;
    double m_capacity;
    double m_available;
};

} // namespace Verbena::Decisions
