#include "fairsharemarker.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

namespace {

// A request whose position equals the share of its team gets the mark markAtShare. Each doubling of the position adds marksPerDoubling.
constexpr double markAtShare = 11;
constexpr double marksPerDoubling = 3;

} // namespace

FairShareMarker::FairShareMarker(std::uint64_t seed)
    : m_seed(seed)
{
}

void FairShareMarker::setShare(const std::string &team, double share)
{
    Team &entry = m_teams[team];
    m_totalShare += share - entry.share;
    entry.share = share;
}

void FairShareMarker::recordRequest(const std::string &team, Core::TimePoint now)
{
    ++m_requestCount;
    m_totalDemand.add(now);
    m_teams[team].demand.add(now);
}

// Each request gets a random position between zero and the demand of its team, in multiples of the team's share. Refusing all requests
// beyond one position, the same for all teams, allocates the capacity by weighted max-min fairness.
std::uint32_t FairShareMarker::mark(const std::string &team, Core::TimePoint now) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || found->second.share <= 0) {
        return highestMark;
    }
    const double randomValue = static_cast<double>(XXH3_64bits_withSeed(&m_requestCount, sizeof m_requestCount, m_seed) >> 11) * 0x1p-53;
    const double demand = found->second.demand.at(now) / std::max(m_totalDemand.at(now), 1.0);
    const double position = randomValue * demand / (found->second.share / m_totalShare);
    const double mark = markAtShare + marksPerDoubling * std::log2(std::max(position, 1e-9));
    return static_cast<std::uint32_t>(std::clamp(std::round(mark), 0.0, static_cast<double>(highestMark)));
}

} // namespace Verbena::Decisions
