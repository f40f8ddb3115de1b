#include "retrybudget.h"

#include <algorithm>

namespace Verbena::Decisions {

// What a process starts with it has anew with each start, whatever the one before it used. So that is little, for a router that is killed again and again
// while backend servers fail.
RetryBudget::RetryBudget(double fraction, double capacity, double atStart)
    : m_fraction(fraction)
    , m_capacity(capacity)
    , m_available(std::min(capacity, atStart))
{
}

void RetryBudget::noteSuccess()
{
    m_available = std::min(m_capacity, m_available + m_fraction);
}

bool RetryBudget::tryTake()
{
    if (m_available < 1.0) {
        return false;
    }
    m_available -= 1.0;
    return true;
}

double RetryBudget::available() const
{
    return m_available;
}

} // namespace Verbena::Decisions
