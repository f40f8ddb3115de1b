#include "weightsschedule.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Verbena::Decisions {

namespace {

auto turn(const WeightsHolder &holder, std::uint64_t version)
{
    return std::tuple(holder.version, XXH3_64bits_withSeed(holder.id.data(), holder.id.size(), version), holder.id);
}

} // namespace

Core::TimePoint weightsLoadTime(
    const std::vector<WeightsHolder> &holders, const std::string &self, std::uint64_t version, const WeightsPace &pace, Core::TimePoint namedAt)
{
    const auto own = std::find_if(holders.begin(), holders.end(), [&self](const WeightsHolder &holder) { return holder.id == self; });
    if (own == holders.end()) {
        return namedAt;
    }
    const auto ownTurn = turn(*own, version);
    const auto before = std::count_if(
        holders.begin(), holders.end(), [&](const WeightsHolder &holder) { return holder.version < version && turn(holder, version) < ownTurn; });
    return namedAt + pace.notice + before / pace.loadsAtOnce * pace.loadTime;
}

} // namespace Verbena::Decisions
