#pragma once

#include "decayingcount.h"

#include <core/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief Marks requests once at the entry, by how far their team's demand goes beyond its share.
///
/// Agents tell the lowest mark that they refuse. With these marks, refusing from one mark upwards cuts every team to the same multiple
/// of its share, wherever its prompts are warm: a team within its share is cut last.
class EntryMarker
{
public:
    static constexpr std::uint32_t highestMark = 15;

    explicit EntryMarker(std::uint64_t seed);

    /// \brief Sets the part of the whole that \a team was assigned; teams that are not named have none.
    void setShare(const std::string &team, double share);

    /// \brief Counts a request of \a team.
    void noteRequest(const std::string &team, Core::TimePoint now);

    /// \brief The mark of the request of \a team that was counted last: 0 is refused last, highestMark first.
    std::uint32_t mark(const std::string &team, Core::TimePoint now) const;

private:
    struct Team
    {
        double share = 0;
        DecayingCount demand;
    };

    std::uint64_t m_seed;
    std::uint64_t m_requests = 0;
    double m_shares = 0;
    DecayingCount m_demand;
    std::map<std::string, Team> m_teams;
};

} // namespace Verbena::Decisions
