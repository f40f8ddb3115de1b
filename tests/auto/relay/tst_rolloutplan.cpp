#include "weightsfleet.h"

#include <decisions/relay/rolloutplan.h>

#include <gtest/gtest.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;
const std::string model = "m";

std::map<std::string, WeightsGoal> goals(std::uint64_t version, Core::TimePoint announcedAt, std::vector<WeightsHolder> holders)
{
    return {{model, {version, announcedAt, std::move(holders)}}};
}

// Returns when an agent that starts without any state and receives \a announced at \a now loads the weights.
Core::TimePoint loadTime(const std::vector<AnnouncedSlot> &announced, Core::TimePoint now)
{
    Core::TimePoint planned = Core::TimePoint::max();
    for (const AnnouncedSlot &entry : announced) {
        const Core::TimePoint announcedAt = entry.age.has_value() ? now - *entry.age : Core::TimePoint::min();
        planned = weightsLoadTime(entry.slot, {}, {announcedAt, now}, planned);
    }
    return planned;
}

// Agents kept being told of a version that had been written in error and mended.
TEST(RolloutPlanTest, tellsOfAVersionThatWasWithdrawn)
{
    RolloutPlan plan;
    plan.update(goals(1000, start, fleet(9)));
    for (const std::uint64_t version : {std::uint64_t(2), std::uint64_t(3)}) {
        plan.update(goals(version, start + 1s, fleet(9)));
        for (const AnnouncedSlot &announced : plan.slots(model, "0", 1, start + 1s)) {
            EXPECT_LE(announced.version, version);
        }
    }
}

// A router that has just started reads which weights are announced before it reads which engines serve the model. Slots computed from that empty fleet and
// sent to all agents made nine engines load in the same millisecond, so that none was left to serve:
//   weights_planned version=2 engines=0 before=0 in_ms=0
TEST(RolloutPlanTest, returnsNoSlotsUntilTheRegisterIsKnown)
{
    RolloutPlan plan;
    plan.update(goals(2, start, {}));
    EXPECT_TRUE(plan.slots(model, "0", 1, start).empty());
    plan.update(goals(2, start, fleet(9)));
    std::map<Core::TimePoint, int> groups;
    for (const WeightsHolder &holder : fleet(9)) {
        const std::vector<AnnouncedSlot> announced = plan.slots(model, holder.id, 1, start + 300ms);
        ASSERT_EQ(announced.size(), 1U);
        EXPECT_EQ(announced.front().version, 2U);
        EXPECT_EQ(announced.front().slot.engines, 9U);
        ++groups[loadTime(announced, start + 300ms)];
    }
    EXPECT_EQ(groups.size(), 3U);
}

// If slots were computed only once for each version, an engine that joined later would have none and load at once. Computing them again for all would delay
// the waiting engines whenever one joins.
TEST(RolloutPlanTest, assignsASlotToAnEngineThatJoinsAndTheOthersKeepTheirs)
{
    RolloutPlan plan;
    plan.update(goals(2, start, fleet(9)));
    std::map<std::string, Core::TimePoint> planned;
    for (const WeightsHolder &holder : fleet(9)) {
        planned[holder.id] = loadTime(plan.slots(model, holder.id, 1, start), start);
    }
    EXPECT_TRUE(plan.slots(model, "15", 1, start).empty());
    plan.update(goals(2, start, fleet(20)));
    for (const auto &[id, time] : planned) {
        EXPECT_EQ(loadTime(plan.slots(model, id, 1, start + 1s), start + 1s), time) << id;
    }
    const RolloutOptions options;
    for (const WeightsHolder &holder : fleet(20)) {
        EXPECT_LE(loadTime(plan.slots(model, holder.id, 1, start + 1s), start + 1s) + options.loadDuration, start + options.noticePeriod + options.duration);
    }
}

// Agents were killed 0.9, 3.0 and 4.5 s after an announcement at 20.0 s, and each time planned 4.7 s from when they received it: the last engine would have
// loaded at 30.7 s instead of 24.8 s, after the 8 s for which old weights may be used.
TEST(RolloutPlanTest, givesARestartedAgentTheSameSlot)
{
    RolloutPlan plan;
    plan.update(goals(2, start, fleet(9)));
    for (const WeightsHolder &holder : fleet(9)) {
        const Core::TimePoint planned = loadTime(plan.slots(model, holder.id, 1, start), start);
        for (const auto later : {1650ms, 3750ms, 5250ms}) {
            EXPECT_EQ(loadTime(plan.slots(model, holder.id, 1, start + later), start + later), planned);
        }
    }
}

// The engine keeps the slot of the earlier version, and so must an engine whose agent restarts in the meantime, also after several versions.
TEST(RolloutPlanTest, includesTheSlotThatAnEngineKeepsOfEarlierWeights)
{
    RolloutPlan plan;
    plan.update(goals(2, start, fleet(9)));
    std::map<std::string, Core::TimePoint> planned;
    for (const WeightsHolder &holder : fleet(9)) {
        planned[holder.id] = loadTime(plan.slots(model, holder.id, 1, start), start);
    }
    plan.update(goals(3, start + 1s, fleet(9)));
    plan.update(goals(4, start + 2s, fleet(9)));
    const Core::TimePoint now = start + 2500ms;
    for (const WeightsHolder &holder : fleet(9)) {
        const std::vector<AnnouncedSlot> announced = plan.slots(model, holder.id, 1, now);
        ASSERT_EQ(announced.size(), 2U);
        EXPECT_EQ(announced.front().version, 2U);
        EXPECT_EQ(announced.back().version, 4U);
        EXPECT_LE(loadTime(announced, now), planned[holder.id]);
        // After the engine has loaded the first ones, only the next ones count.
        const std::vector<AnnouncedSlot> after = plan.slots(model, holder.id, 2, now);
        ASSERT_EQ(after.size(), 1U);
        EXPECT_EQ(after.back().version, 4U);
    }
}

// The router may not know the time of the announcement, or receive it later.
TEST(RolloutPlanTest, returnsNoUnknownAge)
{
    RolloutPlan plan;
    plan.update(goals(2, Core::TimePoint::min(), fleet(9)));
    EXPECT_FALSE(plan.slots(model, "0", 1, start).front().age.has_value());
    plan.update(goals(2, start - 2s, fleet(9)));
    EXPECT_EQ(plan.slots(model, "0", 1, start).front().age, std::optional(std::chrono::microseconds(2s)));
    // The announcement is dated a little ahead of this router's clock.
    EXPECT_EQ(plan.slots(model, "0", 1, start - 3s).front().age, std::optional(std::chrono::microseconds(0)));
}

TEST(RolloutPlanTest, removesLostEnginesWithTheNextVersion)
{
    RolloutPlan plan;
    plan.update(goals(2, start, fleet(9)));
    plan.update(goals(3, start + 9s, fleet(4, 2)));
    EXPECT_TRUE(plan.slots(model, "8", 1, start + 9s).empty());
    EXPECT_EQ(plan.slots(model, "3", 2, start + 9s).size(), 1U);
}

} // namespace

} // namespace Verbena::Decisions
