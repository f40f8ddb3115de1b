#pragma once

#include "decayingcount.h"

#include <core/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief Assigns each request its mark when it enters the router, by how far the demand of its team exceeds the team's share.
///
/// Agents report the lowest mark that they refuse. Refusing all marks from one value upwards limits every team to the same multiple of
/// its share, wherever its prompts are warm, so that a team within its share is limited last.
class FairShareMarker
{
public:
    static constexpr std::uint32_t highestMark = 15;

    explicit FairShareMarker(std::uint64_t seed);

    /// \brief Sets the \a share of the capacity that is assigned to \a team; teams without an entry have none.
    void setShare(const std::string &team, double share);

    /// \brief Counts a request of \a team at \a now.
    void recordRequest(const std::string &team, Core::TimePoint now);

    /// \brief Returns the mark of the request of \a team that was recorded last.
    ///
    /// Requests with the mark 0 are refused last, those with highestMark first. Teams without a share always get highestMark.
    std::uint32_t mark(const std::string &team, Core::TimePoint now) const;

private:
    struct Team
    {
        double share = 0;
        DecayingCount demand;
    };

    std::uint64_t m_seed;
    std::uint64_t m_requestCount = 0;
    double m_totalShare = 0;
    DecayingCount m_totalDemand;
    std::map<std::string, Team> m_teams;
};

} // namespace Verbena::Decisions
