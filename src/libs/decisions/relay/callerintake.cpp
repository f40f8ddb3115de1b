#include "callerintake.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

using std::chrono::milliseconds;

// Part of the average that one recording makes up. A single long lag, as after a suspension, does not reach the threshold; several in a row do.
constexpr double recordingWeight = 0.1;
constexpr milliseconds maximumLag{1000};

// Hosts whose share of a processor is given out by the tenth of a second are late by nearly as much in normal operation. Callers give up a connection that is
// not read for a second.
constexpr milliseconds behindLag{200};
constexpr milliseconds caughtUpLag{100};

// Parts of the limit of descriptors at which a router has too many connections, and few enough again.
constexpr double manyConnections = 0.75;
constexpr double fewConnections = 0.625;

// A balancer that asks every second and believes the second answer sends nobody for the rest of such a pause.
constexpr milliseconds longestPause{4000};
constexpr milliseconds shortestPause{3000};

// Part of the time that a router may pause, with a margin to the eighth that is the most a balancer may be told no.
constexpr double pauseShare = 0.1;

// Each router counts turns from its own start. A pause begins within a turn and lasts as long as one at most, so that on average a third of the routers or
// fewer pause at one moment.
constexpr std::uint64_t turns = 6;
constexpr milliseconds turnTime = longestPause;
constexpr milliseconds roundTime = turnTime * turns;

} // namespace

CallerIntake::CallerIntake(std::optional<std::uint64_t> descriptors, std::uint64_t seed, Core::TimePoint start)
    : m_descriptors(descriptors)
    , m_turn(turnTime * (seed % turns))
    , m_start(start)
    , m_recordedAt(start)
{
}

bool CallerIntake::record(const RouterLoad &load, Core::TimePoint now)
{
    if (!m_descriptors.has_value()) {
        return false;
    }
    updateAverage(load);
    updateAllowance(now);
    updateBehind(load);
    const bool wasPaused = m_isPaused;
    if (!m_isPaused && mayBegin(now)) {
        m_isPaused = true;
        m_pausedAt = now;
    } else if (m_isPaused && mustEnd(now)) {
        m_isPaused = false;
    }
    return m_isPaused != wasPaused;
}

void CallerIntake::updateAverage(const RouterLoad &load)
{
    const milliseconds lag = std::clamp(load.lag, milliseconds(0), maximumLag);
    m_averageLag += (lag - m_averageLag) * recordingWeight;
}

void CallerIntake::updateAllowance(Core::TimePoint now)
{
    const std::chrono::duration<double, std::milli> passed = now - m_recordedAt;
    m_recordedAt = now;
    m_allowance += m_isPaused ? -passed : passed * pauseShare;
    m_allowance = std::min<std::chrono::duration<double, std::milli>>(m_allowance, longestPause);
}

void CallerIntake::updateBehind(const RouterLoad &load)
{
    const milliseconds lagBound = m_isBehind ? caughtUpLag : behindLag;
    const double connectionBound = static_cast<double>(*m_descriptors) * (m_isBehind ? fewConnections : manyConnections);
    m_isBehind = m_averageLag > lagBound || static_cast<double>(load.connections) > connectionBound || load.isMemoryShort;
}

bool CallerIntake::mayBegin(Core::TimePoint now) const
{
    const bool isTurn = (now - m_start) % roundTime >= m_turn && (now - m_start) % roundTime < m_turn + turnTime;
    return m_isBehind && isTurn && m_allowance >= longestPause;
}

// A pause that the balancer has not noticed would have no effect, so it lasts for a while even if the router has caught up.
bool CallerIntake::mustEnd(Core::TimePoint now) const
{
    return m_allowance.count() <= 0 || (!m_isBehind && now - m_pausedAt >= shortestPause);
}

bool CallerIntake::wantsCallers() const
{
    return !m_isPaused;
}

bool CallerIntake::isBehind() const
{
    return m_isBehind;
}

milliseconds CallerIntake::averageLag() const
{
    return std::chrono::duration_cast<milliseconds>(m_averageLag);
}

} // namespace Verbena::Decisions
