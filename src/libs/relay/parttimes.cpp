#include "parttimes.h"

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

void PartTimes::recordPart(Core::TimePoint now)
{
    if (m_latest.has_value()) {
        const auto gap = std::chrono::duration_cast<milliseconds>(now - *m_latest);
        m_longestGap = std::max(gap, m_longestGap.value_or(gap));
    }
    m_latest = now;
}

std::optional<milliseconds> PartTimes::longestGap() const
{
    return m_longestGap;
}

} // namespace Verbena::Relay
