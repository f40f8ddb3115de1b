#include "weightsschedule.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Verbena::Decisions {

namespace {

// Routers receive an announcement within some milliseconds of each other. A slot that is earlier by less than this needs no new plan and no log line.
constexpr std::chrono::milliseconds minAdvance{100};

// Assumed fleet size if it is not known: large enough for an even distribution over all groups.
constexpr std::uint32_t hashedEngines = 10'000;

auto rolloutOrder(const WeightsHolder &holder, std::uint64_t version)
{
    return std::tuple(holder.version, XXH3_64bits_withSeed(holder.id.data(), holder.id.size(), version), holder.id);
}

// Returns the time from one group to the next.
std::chrono::milliseconds groupStep(std::size_t engines, const RolloutOptions &options, std::size_t groupSize)
{
    const std::size_t groups = (engines + groupSize - 1) / groupSize;
    return std::max(options.loadDuration, options.duration / static_cast<int>(groups));
}

// In a large fleet more engines have to load at once so that the rollout ends in time.
std::size_t groupSize(std::size_t engines, const RolloutOptions &options)
{
    const auto groups = static_cast<std::size_t>(std::max<std::int64_t>(1, options.duration / options.loadDuration));
    return std::max<std::size_t>(options.concurrentLoads, (engines + groups - 1) / groups);
}

// Maximum time from when routers send nothing new to an engine until it loads, whatever it still runs.
constexpr std::chrono::milliseconds maxDeferral{400};

} // namespace

std::map<std::string, RolloutSlot> rolloutSlots(const std::vector<WeightsHolder> &holders, std::uint64_t version)
{
    std::vector<const WeightsHolder *> waiting;
    for (const WeightsHolder &holder : holders) {
        if (holder.version < version) {
            waiting.push_back(&holder);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [version](const WeightsHolder *left, const WeightsHolder *right) {
        return rolloutOrder(*left, version) < rolloutOrder(*right, version);
    });
    const auto done = static_cast<std::uint32_t>(holders.size() - waiting.size());
    std::map<std::string, RolloutSlot> slots;
    for (const WeightsHolder &holder : holders) {
        slots[holder.id] = {static_cast<std::uint32_t>(holders.size()), 0, done};
    }
    for (std::size_t position = 0; position < waiting.size(); ++position) {
        slots[waiting[position]->id].position = static_cast<std::uint32_t>(position);
    }
    return slots;
}

bool WeightsAnnouncement::isTimeKnown() const
{
    return announcedAt != Core::TimePoint::min();
}

RolloutSlot hashedRolloutSlot(const std::string &id, std::uint64_t version)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), version);
    return {hashedEngines, static_cast<std::uint32_t>(hash % hashedEngines), 0};
}

Core::TimePoint weightsLoadTime(const RolloutSlot &slot, const RolloutOptions &options, const WeightsAnnouncement &announcement, Core::TimePoint planned)
{
    if (slot.engines == 0) {
        return std::min(planned, announcement.isTimeKnown() ? announcement.announcedAt : announcement.receivedAt);
    }
    const std::size_t size = groupSize(slot.engines, options);
    const std::uint64_t last = slot.engines - 1;
    if (!announcement.isTimeKnown()) {
        // Loading all at once would take as long, since more engines than one group slow each other down, but the first engine would be back only with the
        // last one.
        const auto group = static_cast<int>(std::min<std::uint64_t>(slot.position, last) / size);
        return std::min(planned, announcement.receivedAt + group * options.loadDuration);
    }
    const auto group = static_cast<int>(std::min(std::uint64_t(slot.completed) + slot.position, last) / size);
    return std::min(planned, announcement.announcedAt + options.noticePeriod + group * groupStep(slot.engines, options, size));
}

bool mayDeferLoad(std::uint32_t running, Core::TimePoint loadTime, Core::TimePoint now)
{
    return running > 0 && now < loadTime + maxDeferral;
}

bool isEarlierSlot(const RolloutSlot &slot, const RolloutOptions &options, const WeightsAnnouncement &announcement, Core::TimePoint planned)
{
    // If the time of the announcement is not known, nothing is better than the existing plan, and a load that is due cannot be advanced.
    if (slot.engines == 0 || !announcement.isTimeKnown() || planned <= announcement.receivedAt) {
        return false;
    }
    return weightsLoadTime(slot, options, announcement) + minAdvance <= planned;
}

} // namespace Verbena::Decisions
