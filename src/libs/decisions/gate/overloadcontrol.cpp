#include "overloadcontrol.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::int64_t maximumStepsPerPeriod = 4;

} // namespace

OverloadControl::OverloadControl(const OverloadOptions &options)
    : m_options(options)
    , m_level(options.highestMark + 1)
{
}

void OverloadControl::addWaitSample(std::chrono::microseconds wait, Core::TimePoint now)
{
    if (now < m_nextPeriod) {
        return;
    }
    m_nextPeriod = now + m_options.period;
    if (wait > m_options.highWait) {
        m_highSince = m_highSince.value_or(now);
        m_lowWaitPeriods = 0;
        if (now - *m_highSince >= m_options.standingQueueTime) {
            lowerLevel(wait);
        }
        return;
    }
    m_highSince.reset();
    if (wait < m_options.lowWait) {
        raiseLevel();
    } else {
        m_lowWaitPeriods = 0;
    }
}

std::uint32_t OverloadControl::level() const
{
    return m_level > m_options.highestMark ? 0 : m_level;
}

bool OverloadControl::isRefused(std::uint32_t mark) const
{
    return std::min(mark, m_options.highestMark) >= m_level;
}

std::optional<Core::TimePoint> OverloadControl::nextDeadline() const
{
    return level() == 0 ? std::nullopt : std::optional(m_nextPeriod);
}

void OverloadControl::lowerLevel(std::chrono::microseconds wait)
{
    const auto steps = static_cast<std::uint32_t>(std::clamp<std::int64_t>(wait / m_options.highWait, 1, maximumStepsPerPeriod));
    m_level = m_level > steps ? m_level - steps : 1;
}

void OverloadControl::raiseLevel()
{
    ++m_lowWaitPeriods;
    if (m_lowWaitPeriods >= m_options.lowWaitPeriods && m_level <= m_options.highestMark) {
        ++m_level;
        m_lowWaitPeriods = 0;
    }
}

} // namespace Verbena::Decisions
