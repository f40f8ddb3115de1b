#include "usagereserve.h"

#include "usageclaim.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

namespace {

// Time constant of the exponential decay of claims. A few claims of a small organisation fall into it.
constexpr Seconds decayTime{4};

// Time after its last claim for which a priority counts.
constexpr std::chrono::seconds claimLifetime{10};

// Time for which the expected claims of more urgent priorities are reserved: an increase that lasts longer lowers what the less urgent leave.
constexpr Seconds reservedTime{1};

// Limits of the reserve. The less urgent can always use the rest of a burst.
constexpr Seconds maximumReserve{2};
constexpr double maximumReservePart = 0.5;

// Part of the rate that is owed to each priority. All of them together get no more than the rate.
constexpr double owedPart = 1.0 / UsageReserve::priorityCount;

} // namespace

void UsageReserve::decay(Claims &claims, Core::TimePoint::duration elapsed)
{
    const double factor = std::exp(-Seconds(elapsed) / decayTime);
    claims.costSum *= factor;
    claims.countSum *= factor;
}

void UsageReserve::advance(const BucketSize &size, Core::TimePoint now)
{
    const auto elapsed = std::max(now, m_advancedAt) - m_advancedAt;
    for (Claims &claims : m_claims) {
        decay(claims, elapsed);
        if (claims.claimedAt.has_value() && now > *claims.claimedAt + claimLifetime) {
            claims.costSum = 0;
            claims.countSum = 0;
            claims.claimedAt.reset();
        }
        if (claims.owedUntil.has_value() && now <= *claims.owedUntil) {
            const double gained = owedPart * size.perSecond * Seconds(elapsed).count();
            claims.owed = std::min({claims.owed + gained, claims.owedLimit, size.capacity});
        } else {
            claims.owed = 0;
            claims.owedLimit = 0;
            claims.owedUntil.reset();
        }
    }
    m_advancedAt += elapsed;
}

void UsageReserve::recordClaim(std::uint32_t priority, double cost, const BucketSize &size, Core::TimePoint now)
{
    advance(size, now);
    Claims &claims = m_claims.at(priority);
    claims.costSum += cost;
    claims.countSum += 1;
    claims.claimedAt = now;
}

// One claim of the usual size is added, because claims that come less than once in the reserved time need all of their cost at once.
double UsageReserve::expectedUse(const Claims &claims)
{
    if (!claims.claimedAt.has_value() || claims.countSum <= 0) {
        return 0;
    }
    return claims.costSum * (reservedTime / decayTime) + claims.costSum / claims.countSum;
}

double UsageReserve::reserve(std::uint32_t priority, const BucketSize &size) const
{
    double sum = 0;
    for (std::uint32_t moreUrgent = 0; moreUrgent < priority; ++moreUrgent) {
        sum += expectedUse(m_claims.at(moreUrgent));
    }
    return std::min({sum, maximumReserve.count() * size.perSecond, maximumReservePart * size.capacity});
}

double UsageReserve::owedToLessUrgent(std::uint32_t priority) const
{
    double sum = 0;
    for (std::uint32_t lessUrgent = priority + 1; lessUrgent < priorityCount; ++lessUrgent) {
        sum += m_claims.at(lessUrgent).owed;
    }
    return sum;
}

double UsageReserve::held(std::uint32_t priority, const BucketSize &size) const
{
    return reserve(priority, size) + owedToLessUrgent(priority);
}

double UsageReserve::owed(std::uint32_t priority) const
{
    return m_claims.at(priority).owed;
}

void UsageReserve::recordGrant(std::uint32_t priority, double cost)
{
    Claims &claims = m_claims.at(priority);
    claims.owed = std::max(0.0, claims.owed - cost);
}

// The part of the rate that what is owed to less urgent priorities cannot take up.
double UsageReserve::refillPart(std::uint32_t priority) const
{
    double part = 1;
    for (std::uint32_t lessUrgent = priority + 1; lessUrgent < priorityCount; ++lessUrgent) {
        part -= m_claims.at(lessUrgent).owedUntil.has_value() ? owedPart : 0;
    }
    return part;
}

milliseconds UsageReserve::recordRefusal(std::uint32_t priority, double cost, double level, const BucketSize &size, Core::TimePoint now)
{
    if (cost > size.capacity) {
        return timeToFill(cost - level, size.perSecond);
    }
    Claims &claims = m_claims.at(priority);
    claims.owedLimit = std::max(claims.owedLimit, cost);
    const milliseconds untilFull = timeToFill(size.capacity - level, size.perSecond);
    const milliseconds untilAboveHeld = timeToFill(cost + held(priority, size) - level, refillPart(priority) * size.perSecond);
    const milliseconds untilOwed = std::max(timeToFill(cost - claims.owed, owedPart * size.perSecond), timeToFill(cost - level, size.perSecond));
    const milliseconds named = std::min({untilFull, untilAboveHeld, untilOwed});
    claims.owedUntil = now + spreadRetry(named, 1) + claimLifetime;
    return named;
}

} // namespace Verbena::Decisions
