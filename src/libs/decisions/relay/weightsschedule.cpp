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

// From one group to the next.
std::chrono::milliseconds groupStep(std::size_t engines, const WeightsPace &pace, std::size_t groupSize)
{
    const std::size_t groups = (engines + groupSize - 1) / groupSize;
    return std::max(pace.loadTime, pace.spread / static_cast<int>(groups));
}

// In a large fleet more engines have to load at once to be done in time.
std::size_t groupSize(std::size_t engines, const WeightsPace &pace)
{
    const auto groups = static_cast<std::size_t>(std::max<std::int64_t>(1, pace.spread / pace.loadTime));
    return std::max<std::size_t>(pace.loadsAtOnce, (engines + groups - 1) / groups);
}

} // namespace

Core::TimePoint weightsLoadTime(const std::vector<WeightsHolder> &holders,
    const std::string &self,
    std::uint64_t version,
    const WeightsPace &pace,
    Core::TimePoint namedAt,
    Core::TimePoint planned)
{
    const auto own = std::find_if(holders.begin(), holders.end(), [&self](const WeightsHolder &holder) { return holder.id == self; });
    if (own == holders.end()) {
        return std::min(namedAt, planned);
    }
    const auto ownTurn = turn(*own, version);
    const auto before = std::count_if(
        holders.begin(), holders.end(), [&](const WeightsHolder &holder) { return holder.version < version && turn(holder, version) < ownTurn; });
    const std::size_t size = groupSize(holders.size(), pace);
    const auto group = before / static_cast<std::ptrdiff_t>(size);
    return std::min(planned, namedAt + pace.notice + group * groupStep(holders.size(), pace, size));
}

} // namespace Verbena::Decisions
