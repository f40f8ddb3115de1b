#include "weightsturnbook.h"

#include <algorithm>

namespace Verbena::Decisions {

void WeightsTurnBook::follow(const std::map<std::string, WeightsGoal> &goals)
{
    for (const auto &[model, goal] : goals) {
        Engines &engines = m_models[model];
        if (!haveTurns(engines, goal)) {
            giveTurns(engines, goal);
        }
        // A router that started may learn later when they were named.
        for (auto &[id, engine] : engines) {
            engine.newest.namedAt = goal.announcedAt;
        }
    }
}

bool WeightsTurnBook::haveTurns(const Engines &engines, const WeightsGoal &goal)
{
    return std::all_of(goal.holders.begin(), goal.holders.end(), [&](const WeightsHolder &holder) {
        const auto engine = engines.find(holder.id);
        return engine != engines.end() && engine->second.newest.version == goal.version;
    });
}

void WeightsTurnBook::giveTurns(Engines &engines, const WeightsGoal &goal)
{
    const std::map<std::string, WeightsTurn> turns = weightsTurns(goal.holders, goal.version);
    for (const WeightsHolder &holder : goal.holders) {
        Engine &engine = engines[holder.id];
        if (engine.newest.version == goal.version) {
            continue;
        }
        if (!engine.owed.has_value() || engine.owed->version <= holder.version) {
            engine.owed = engine.newest.version > holder.version ? std::optional(engine.newest) : std::nullopt;
        }
        engine.newest = {goal.version, goal.announcedAt, turns.at(holder.id)};
    }
    // Engines that are gone; with their turns for earlier weights they would stay for ever.
    std::erase_if(engines, [&goal](const auto &entry) { return entry.second.newest.version != goal.version; });
}

std::vector<ToldTurn> WeightsTurnBook::turns(const std::string &model, const std::string &id, std::uint64_t version, Core::TimePoint now) const
{
    const auto engines = m_models.find(model);
    if (engines == m_models.end()) {
        return {};
    }
    const auto engine = engines->second.find(id);
    if (engine == engines->second.end()) {
        return {};
    }
    std::vector<ToldTurn> all;
    const std::optional<Turn> &owed = engine->second.owed;
    if (owed.has_value() && owed->version > version) {
        all.push_back(told(*owed, now));
    }
    all.push_back(told(engine->second.newest, now));
    return all;
}

ToldTurn WeightsTurnBook::told(const Turn &turn, Core::TimePoint now)
{
    ToldTurn entry{turn.version, turn.turn, std::nullopt};
    if (turn.namedAt != Core::TimePoint::min()) {
        entry.age = std::chrono::duration_cast<std::chrono::microseconds>(now - std::min(turn.namedAt, now));
    }
    return entry;
}

} // namespace Verbena::Decisions
