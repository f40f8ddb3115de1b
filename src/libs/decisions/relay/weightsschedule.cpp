#include "weightsschedule.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Verbena::Decisions {

namespace {

// Routers learn of a naming within some milliseconds of each other; a turn that is earlier by less than this needs no new plan, and no line in the log.
constexpr std::chrono::milliseconds leastGain{100};

// Of a fleet whose size is not known: enough for an even draw over all groups.
constexpr std::uint32_t drawnEngines = 10'000;

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

// From the moment that routers send nothing new to an engine until it loads, whatever it runs.
constexpr std::chrono::milliseconds runsTime{400};

} // namespace

std::map<std::string, WeightsTurn> weightsTurns(const std::vector<WeightsHolder> &holders, std::uint64_t version)
{
    std::vector<const WeightsHolder *> waiting;
    for (const WeightsHolder &holder : holders) {
        if (holder.version < version) {
            waiting.push_back(&holder);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [version](const WeightsHolder *left, const WeightsHolder *right) {
        return turn(*left, version) < turn(*right, version);
    });
    const auto done = static_cast<std::uint32_t>(holders.size() - waiting.size());
    std::map<std::string, WeightsTurn> turns;
    for (const WeightsHolder &holder : holders) {
        turns[holder.id] = {static_cast<std::uint32_t>(holders.size()), 0, done};
    }
    for (std::size_t place = 0; place < waiting.size(); ++place) {
        turns[waiting[place]->id].before = static_cast<std::uint32_t>(place);
    }
    return turns;
}

bool WeightsNaming::isTimeKnown() const
{
    return at != Core::TimePoint::min();
}

WeightsTurn drawnWeightsTurn(const std::string &id, std::uint64_t version)
{
    const std::uint64_t draw = XXH3_64bits_withSeed(id.data(), id.size(), version);
    return {drawnEngines, static_cast<std::uint32_t>(draw % drawnEngines), 0};
}

Core::TimePoint weightsLoadTime(const WeightsTurn &turn, const WeightsPace &pace, const WeightsNaming &naming, Core::TimePoint planned)
{
    if (turn.engines == 0) {
        return std::min(planned, naming.isTimeKnown() ? naming.at : naming.learnedAt);
    }
    const std::size_t size = groupSize(turn.engines, pace);
    if (!naming.isTimeKnown()) {
        // All at once would take as long, since more than a group slow each other down, but the first engine would be back only with the last one.
        const auto group = static_cast<int>(turn.before / size);
        return std::min(planned, naming.learnedAt + group * pace.loadTime);
    }
    const auto group = static_cast<int>((turn.done + turn.before) / size);
    return std::min(planned, naming.at + pace.notice + group * groupStep(turn.engines, pace, size));
}

bool mayRunsFinish(std::uint32_t running, Core::TimePoint loadTime, Core::TimePoint now)
{
    return running > 0 && now < loadTime + runsTime;
}

bool bringsForward(const WeightsTurn &turn, const WeightsPace &pace, const WeightsNaming &naming, Core::TimePoint planned)
{
    // Who does not know when the weights were named has nothing better than what is planned, and what is due cannot be brought forward.
    if (turn.engines == 0 || !naming.isTimeKnown() || planned <= naming.learnedAt) {
        return false;
    }
    return weightsLoadTime(turn, pace, naming) + leastGain <= planned;
}

} // namespace Verbena::Decisions
