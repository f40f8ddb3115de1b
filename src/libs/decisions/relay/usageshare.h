#pragma once

#include "usagebucket.h"
#include "usageclaim.h"

#include <core/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief One router's own part of the caps, for as long as their keeper does not answer.
///
/// It answers a keeper that is killed or cut off: without it either all requests of its organisations would be refused, or none. Each router uses an equal
/// part of a cap and of the slack, so that the sum stays within the cap whoever else is cut off.
class UsageShare
{
public:
    /// \brief All routers together may use \a slack more than caps and bursts say. Begins at \a start.
    UsageShare(double slack, Core::TimePoint start);

    /// \brief The cap is shared by \a count routers; 0 if nobody knows.
    void setRouterCount(std::uint32_t count);

    /// \brief The keeper of \a organisation answered at \a now: until then it counted what was used.
    void noteKept(const std::string &organisation, Core::TimePoint now);

    /// \brief Takes the cost of \a claim if this router's part allows it.
    UsageVerdict take(const UsageClaim &claim, Core::TimePoint now);

    /// \brief Gives back what a request did not use.
    void giveBack(const UsageClaim &claim);

private:
    double m_slack;
    Core::TimePoint m_start;
    std::uint32_t m_routerCount = 0;
    std::map<std::string, UsageBucket> m_buckets; ///< By organisation.
};

} // namespace Verbena::Decisions
