#include "entrymarker.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

namespace {

// A request in the place of the team's share gets this mark; each doubling of the place adds some.
constexpr double markAtShare = 11;
constexpr double marksPerDoubling = 3;

} // namespace

EntryMarker::EntryMarker(std::uint64_t seed)
    : m_seed(seed)
{
}

void EntryMarker::setShare(const std::string &team, double share)
{
    Team &known = m_teams[team];
    m_shares += share - known.share;
    known.share = share;
}

void EntryMarker::noteRequest(const std::string &team, Core::TimePoint now)
{
    ++m_requests;
    m_demand.add(now);
    m_teams[team].demand.add(now);
}

// A request draws its place between nothing and its team's demand. Cutting all teams at one place, in shares, is the weighted
// max-min fair cut.
std::uint32_t EntryMarker::mark(const std::string &team, Core::TimePoint now) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || found->second.share <= 0) {
        return highestMark;
    }
    const double draw = static_cast<double>(XXH3_64bits_withSeed(&m_requests, sizeof m_requests, m_seed) >> 11) * 0x1p-53;
    const double demand = found->second.demand.at(now) / std::max(m_demand.at(now), 1.0);
    const double place = draw * demand / (found->second.share / m_shares);
    const double mark = markAtShare + marksPerDoubling * std::log2(std::max(place, 1e-9));
    return static_cast<std::uint32_t>(std::clamp(std::round(mark), 0.0, static_cast<double>(highestMark)));
}

} // namespace Verbena::Decisions
