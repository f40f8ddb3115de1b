#include "retrybudget.h"

#include <algorithm>

namespace Verbena::Decisions {

RetryBudget::RetryBudget(double fraction, double capacity)
    : m_fraction(fraction)
    , m_capacity(capacity)
    , m_available(capacity)
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
