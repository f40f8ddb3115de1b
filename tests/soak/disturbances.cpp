#include "disturbances.h"

#include <algorithm>

namespace Verbena::Soak {

namespace {

// After a disturbance, all are in touch again within it.
constexpr std::chrono::milliseconds contactTime{3000};

} // namespace

void Disturbances::note(Core::TimePoint end)
{
    m_end = std::max(m_end, end);
}

void Disturbances::noteStore(Core::TimePoint end)
{
    m_storeEnd = std::max(m_storeEnd, end);
}

bool Disturbances::isAnySince(Core::TimePoint time, bool isStoreCounted) const
{
    const Core::TimePoint end = isStoreCounted ? std::max(m_end, m_storeEnd) : m_end;
    return end + contactTime >= time;
}

} // namespace Verbena::Soak
