#include "limitshare.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

namespace {

// Number of senders beyond one for each request per second.
constexpr double moreSenders = 2;

// Part of the limit that the senders use together. The rest is for those that send in addition while routers disagree on who is there.
constexpr double usedPart = 0.8;

// Requests that all senders together may send at once: a fixed number, and those of a part of a second.
constexpr double jointBurst = 2;
constexpr double jointBurstSeconds = 0.25;

// Minimum rate of requests to a limited server, even if its limit is lower, since only an answer shows the end of a limit.
constexpr double minimumPerSecond = 0.25;

// Time without an answer after which the routers that are no senders take turns: several requests at the minimum rate would have been answered.
constexpr std::chrono::seconds confirmationTime{15};

// Duration of a turn, so long that a window in which servers count requests has hardly more than one.
constexpr std::chrono::seconds turnTime{4};

} // namespace

LimitShare::LimitShare(Core::TimePoint start)
    : m_bucket(start)
{
}

void LimitShare::setLimit(double perSecond)
{
    m_perSecond = std::max(0.0, perSecond);
}

void LimitShare::setRank(std::uint32_t rank, std::uint32_t routers)
{
    m_isRanked = true;
    m_rank = rank;
    m_routers = std::max<std::uint32_t>(1, routers);
}

void LimitShare::setAssumedRouters(std::uint32_t routers)
{
    m_isRanked = false;
    m_rank = 0;
    m_routers = std::max<std::uint32_t>(1, routers);
}

// With a sender for each request per second and two more, every sender may hold a whole request, and their bursts together stay small.
std::uint32_t LimitShare::senders() const
{
    if (!m_isRanked) {
        return m_routers;
    }
    const double most = std::floor(moreSenders + m_perSecond);
    return static_cast<std::uint32_t>(std::min<double>(most, m_routers));
}

BucketSize LimitShare::bucketSize() const
{
    const double perSecond = std::max(usedPart * m_perSecond, minimumPerSecond);
    const double capacity = (jointBurst + jointBurstSeconds * m_perSecond) / senders();
    return {perSecond / senders(), std::max(1.0, capacity)};
}

std::optional<Core::TimePoint> LimitShare::nextSend(Core::TimePoint confirmedAt, Core::TimePoint now)
{
    if (m_rank >= senders()) {
        return isTurn(confirmedAt, now) ? std::optional(now) : std::nullopt;
    }
    const BucketSize size = bucketSize();
    const double missing = std::max(0.0, 1 - m_bucket.level(size, now));
    return now + std::chrono::duration_cast<Core::TimePoint::duration>(std::chrono::duration<double>(missing / size.perSecond));
}

bool LimitShare::isTurn(Core::TimePoint confirmedAt, Core::TimePoint now) const
{
    const Core::TimePoint begin = confirmedAt + confirmationTime;
    if (now < begin || now < m_nextTurn) {
        return false;
    }
    const auto turn = static_cast<std::uint64_t>((now - begin) / turnTime);
    return turn % (m_routers - senders()) == m_rank - senders();
}

void LimitShare::recordSent(Core::TimePoint now)
{
    (void)m_bucket.level(bucketSize(), now);
    m_bucket.consume(1);
    m_nextTurn = now + turnTime;
}

} // namespace Verbena::Decisions
