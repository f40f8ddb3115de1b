#pragma once

#include "prioritizedbucket.h"
#include "usageclaim.h"

#include <core/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief One router's share of the usage caps, used while the owner of a usage counter does not answer.
///
/// Handles owners that are killed or cut off; otherwise either all or none of the requests of their organisations would be refused. Each router uses an equal
/// part of a cap and of the slack, so that the sum stays within the cap whichever other routers are cut off. More urgent requests go before others.
class UsageShare
{
public:
    /// \brief Lets all routers together use \a slack more than caps and bursts allow. Shares fill from \a start.
    UsageShare(double slack, Core::TimePoint start);

    /// \brief Sets the number of routers that share the caps to \a count; 0 if it is unknown.
    void setRouterCount(std::uint32_t count);

    /// \brief Empties the share of \a organisation when its owner answered at \a now, because the owner has counted the usage until then.
    void handleOwnerAnswer(const std::string &organisation, Core::TimePoint now);

    /// \brief Consumes the cost of \a claim if this router's share allows it.
    UsageVerdict tryConsume(const UsageClaim &claim, Core::TimePoint now);

    /// \brief Refunds the cost of a \a claim whose request did not use it.
    void refund(const UsageClaim &claim);

private:
    double m_slack;
    Core::TimePoint m_start;
    std::uint32_t m_routerCount = 0;
    std::map<std::string, PrioritizedBucket> m_buckets; ///< Buckets by organisation.
};

} // namespace Verbena::Decisions
