#include "rolloutplan.h"

#include <algorithm>

namespace Verbena::Decisions {

void RolloutPlan::update(const std::map<std::string, WeightsGoal> &goals)
{
    for (const auto &[model, goal] : goals) {
        Engines &engines = m_models[model];
        if (!hasCurrentSlots(engines, goal)) {
            assignSlots(engines, goal);
        }
        // A router that has just started may receive the time of the announcement later.
        for (auto &[id, engine] : engines) {
            engine.newest.announcedAt = goal.announcedAt;
        }
    }
}

bool RolloutPlan::hasCurrentSlots(const Engines &engines, const WeightsGoal &goal)
{
    return std::all_of(goal.holders.begin(), goal.holders.end(), [&](const WeightsHolder &holder) {
        const auto engine = engines.find(holder.id);
        return engine != engines.end() && engine->second.newest.version == goal.version;
    });
}

void RolloutPlan::withdrawFrom(Engine &engine, std::uint64_t version)
{
    if (engine.newest.version > version) {
        engine.newest = {};
    }
    if (engine.firstMissing.has_value() && engine.firstMissing->version >= version) {
        engine.firstMissing.reset();
    }
}

void RolloutPlan::assignSlots(Engines &engines, const WeightsGoal &goal)
{
    const std::map<std::string, RolloutSlot> slots = rolloutSlots(goal.holders, goal.version);
    for (const WeightsHolder &holder : goal.holders) {
        Engine &engine = engines[holder.id];
        if (engine.newest.version == goal.version) {
            continue;
        }
        withdrawFrom(engine, goal.version);
        if (!engine.firstMissing.has_value() || engine.firstMissing->version <= holder.version) {
            engine.firstMissing = engine.newest.version > holder.version ? std::optional(engine.newest) : std::nullopt;
        }
        engine.newest = {goal.version, goal.announcedAt, slots.at(holder.id)};
    }
    // Engines that no longer exist would otherwise stay for ever with their slots for earlier weights.
    std::erase_if(engines, [&goal](const auto &entry) { return entry.second.newest.version != goal.version; });
}

std::vector<AnnouncedSlot> RolloutPlan::slots(const std::string &model, const std::string &id, std::uint64_t version, Core::TimePoint now) const
{
    const auto engines = m_models.find(model);
    if (engines == m_models.end()) {
        return {};
    }
    const auto engine = engines->second.find(id);
    if (engine == engines->second.end()) {
        return {};
    }
    std::vector<AnnouncedSlot> all;
    const std::optional<VersionSlot> &firstMissing = engine->second.firstMissing;
    if (firstMissing.has_value() && firstMissing->version > version) {
        all.push_back(announcedSlot(*firstMissing, now));
    }
    all.push_back(announcedSlot(engine->second.newest, now));
    return all;
}

AnnouncedSlot RolloutPlan::announcedSlot(const VersionSlot &slot, Core::TimePoint now)
{
    AnnouncedSlot entry{slot.version, slot.slot, std::nullopt};
    if (slot.announcedAt != Core::TimePoint::min()) {
        entry.age = std::chrono::duration_cast<std::chrono::microseconds>(now - std::min(slot.announcedAt, now));
    }
    return entry;
}

} // namespace Verbena::Decisions
