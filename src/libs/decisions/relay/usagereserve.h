#pragma once

#include "relayconfiguration.h"
#include "usagebucket.h"

#include <core/time.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief The order in which claims of different priorities take an organisation's usage bucket.
///
/// Claims leave a reserve for the more urgent ones, as large as these are expected to need soon; there is none if no more urgent claims come. Each priority
/// whose claims are refused is owed a small part of the rate, which the more urgent claims leave in turn, so that none is refused for good. Priorities are
/// from 0, the most urgent, to leastUrgentPriority.
class UsageReserve
{
public:
    static constexpr std::uint32_t priorityCount = leastUrgentPriority + 1;

    /// \brief Records a claim that requires \a cost of a bucket of \a size. Times must not decrease; the functions below are of the time of the last claim.
    void recordClaim(std::uint32_t priority, double cost, const BucketSize &size, Core::TimePoint now);

    /// \brief Returns the level that a claim of \a priority has to leave for others.
    double held(std::uint32_t priority, const BucketSize &size) const;

    /// \brief Returns the usage that is owed to \a priority. A claim may use it even if it does not leave what is held for others.
    double owed(std::uint32_t priority) const;

    /// \brief Records that a claim was granted.
    void recordGrant(std::uint32_t priority, double cost);

    /// \brief Records that a claim was refused at \a level, and returns the time after which it is granted if the others send no more than is held for them.
    std::chrono::milliseconds recordRefusal(std::uint32_t priority, double cost, double level, const BucketSize &size, Core::TimePoint now);

private:
    struct Claims
    {
        double costSum = 0; ///< Decaying sum of the costs.
        double countSum = 0; ///< Decaying number of claims.
        std::optional<Core::TimePoint> claimedAt; ///< Time of the last claim; nothing if there was none lately.
        double owed = 0;
        double owedLimit = 0; ///< Cost of the largest claim that was refused lately.
        std::optional<Core::TimePoint> owedUntil; ///< Time until which a refused caller is expected back; nothing if none is.
    };

    void advance(const BucketSize &size, Core::TimePoint now);
    static void decay(Claims &claims, Core::TimePoint::duration elapsed);
    static double expectedUse(const Claims &claims);
    double reserve(std::uint32_t priority, const BucketSize &size) const;
    double owedToLessUrgent(std::uint32_t priority) const;
    double refillPart(std::uint32_t priority) const;

    std::array<Claims, priorityCount> m_claims; ///< By priority.
    Core::TimePoint m_advancedAt{};
};

} // namespace Verbena::Decisions
