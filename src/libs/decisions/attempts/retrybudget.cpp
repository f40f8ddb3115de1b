#include "retrybudget.h"

#include <algorithm>

namespace Verbena::Decisions {

// Each start of a process grants atStart retries again, whatever the previous process has used. Keep it small: a router that is killed
// repeatedly while backend servers fail would otherwise multiply the load.
RetryBudget::RetryBudget(double fraction, double capacity, double atStart)
    : m_fraction(fraction)
    , m_capacity(capacity)
    , m_available(std::min(capacity, atStart))
{
}

void RetryBudget::recordSuccess()
{
    m_available = std::min(m_capacity, m_available + m_fraction);
}

bool RetryBudget::tryConsume()
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
