#include "weightsfleet.h"

#include <decisions/relay/weightschoice.h>
#include <decisions/spread/randomsource.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;

TEST(WeightsChoiceTest, neverGivesWeightsThatAreTooOld)
{
    EXPECT_TRUE(rc::check([] {
        // Drawn evenly: small numbers, which a generator would begin with, reach no version that is too old.
        RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
        WeightsHistory history;
        std::map<std::uint64_t, std::size_t> servers;
        Core::TimePoint now = start;
        for (std::uint64_t version = 1; version <= 5; ++version) {
            history.note(version, now);
            servers[version] = random.next() % 3;
            now += std::chrono::milliseconds(random.next() % 6000);
        }
        const WeightsLimits limits;
        const auto chosen = chooseWeights(servers, history, limits, now, random.next());
        if (chosen.has_value()) {
            const auto since = history.outdatedSince(*chosen);
            RC_ASSERT(servers.at(*chosen) > 0);
            RC_ASSERT(now < since.value_or(now) + limits.longestUse);
        }
    }));
}

TEST(WeightsChoiceTest, givesAFewNewEnginesMoreThanTheirPartButNotAll)
{
    WeightsHistory history;
    history.note(1, start);
    history.note(2, start + 1s);
    int newer = 0;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        newer += chooseWeights({{1, 15}, {2, 3}}, history, {}, start + 2s, draw * 1000) == std::optional<std::uint64_t>(2) ? 1 : 0;
    }
    EXPECT_GT(newer, 1000 * 3 / 18);
    EXPECT_LT(newer, 700);
}

// Twenty streams of which one lasts for three seconds. Finished first, it would keep the engine from all new work for as long.
TEST(WeightsScheduleTest, doesNotHoldUpALoadForTheLongestStream)
{
    const Core::TimePoint loadTime = Core::TimePoint() + 1h;
    const auto runningAt = [](std::chrono::milliseconds after) {
        return after < 200ms ? 20U : 1U;
    };
    std::chrono::milliseconds idle{0};
    while (mayRunsFinish(runningAt(idle), loadTime, loadTime + idle) && idle < 3s) {
        idle += 10ms;
    }
    EXPECT_GE(idle, 200ms);
    EXPECT_LE(idle, 500ms);
    EXPECT_FALSE(mayRunsFinish(0, loadTime, loadTime));
}

TEST(WeightsScheduleTest, bringsSmallGroupsOneAfterTheOtherAndTheOldestFirst)
{
    std::vector<WeightsHolder> holders;
    holders.reserve(18);
    for (int number = 0; number < 18; ++number) {
        holders.push_back({std::to_string(number), number < 6 ? 1U : 2U});
    }
    const WeightsPace pace;
    std::map<Core::TimePoint, int> groups;
    Core::TimePoint lastOld{};
    Core::TimePoint firstNew = Core::TimePoint::max();
    for (const WeightsHolder &holder : holders) {
        const Core::TimePoint at = weightsLoadTime(holders, holder.id, 3, pace, start);
        ++groups[at];
        lastOld = holder.version == 1 ? std::max(lastOld, at) : lastOld;
        firstNew = holder.version == 2 ? std::min(firstNew, at) : firstNew;
    }
    EXPECT_EQ(groups.size(), 6U);
    for (const auto &[at, count] : groups) {
        EXPECT_EQ(count, 3);
    }
    EXPECT_LT(lastOld, firstNew);
}

// Versions that follow each other faster than the last one can be loaded: with a new turn for each version the engine whose turn is last would never
// load, and its requests would begin on weights that are too old.
TEST(WeightsScheduleTest, keepsAnEnginesTurnWhenTheNextVersionIsNamed)
{
    const std::vector<WeightsHolder> holders = fleet(18);
    const WeightsPace pace;
    for (const WeightsHolder &holder : holders) {
        const Core::TimePoint first = weightsLoadTime(holders, holder.id, 2, pace, start);
        Core::TimePoint planned = first;
        for (std::uint64_t version = 3; version < 9; ++version) {
            planned = weightsLoadTime(holders, holder.id, version, pace, start + 400ms * version, planned);
        }
        EXPECT_LE(planned, first);
    }
}

// A fleet that is three times as large has to load more engines at once, or the last ones would come after the old weights may not be used any more.
TEST(WeightsScheduleTest, isDoneWithinItsSpreadInAFleetOfAnySize)
{
    const WeightsPace pace;
    for (const int engines : {1, 3, 18, 56, 400}) {
        const std::vector<WeightsHolder> holders = fleet(engines);
        std::map<Core::TimePoint, int> groups;
        for (const WeightsHolder &holder : holders) {
            ++groups[weightsLoadTime(holders, holder.id, 2, pace, start)];
        }
        EXPECT_LE(groups.rbegin()->first + pace.loadTime, start + pace.notice + pace.spread) << engines;
        EXPECT_LE(groups.begin()->second, std::max(3, engines / 7 + 1)) << engines;
    }
}

// Three restarts within 4.5 s put the last engine's load from 24.8 s to 30.7 s after the start of the day, of weights that were named at 20.0 s. Who starts in
// the middle reads a register in which the first engines have the new weights already; counted among those that still wait, all others would come forward at
// once, and more would load at a time than may.
TEST(WeightsScheduleTest, givesTheSameTurnsToWhomStartsInTheMiddle)
{
    const WeightsPace pace;
    for (const int engines : {9, 18, 400}) {
        std::vector<WeightsHolder> holders = fleet(engines);
        std::map<std::string, Core::TimePoint> planned;
        for (const WeightsHolder &holder : holders) {
            planned[holder.id] = weightsLoadTime(holders, holder.id, 2, pace, start);
        }
        const Core::TimePoint middle = start + pace.notice + pace.spread / 2;
        for (WeightsHolder &holder : holders) {
            holder.version = planned[holder.id] + pace.loadTime < middle ? 2 : 1;
        }
        const auto moved = std::count_if(holders.begin(), holders.end(), [&](const WeightsHolder &holder) {
            return holder.version == 1 && weightsLoadTime(holders, holder.id, 2, pace, start) != planned[holder.id];
        });
        EXPECT_EQ(moved, 0) << engines;
    }
}

// Nine agents heard of weights without a turn and loaded in the same millisecond, so that no engine was left to serve:
//   weights_planned version=2 engines=0 before=0 in_ms=0, nine times
// Where nobody knows when weights were named, the same could come of turns that all have passed. Nobody uses the old weights then, so it has to be quick too.
TEST(WeightsScheduleTest, neverLoadsAllEnginesAtOnceWhenNobodyKnowsSinceWhen)
{
    const WeightsPace pace;
    for (const int engines : {4, 9, 18, 56, 400, 10000}) {
        std::map<Core::TimePoint, int> groups;
        for (const auto &[id, turn] : weightsTurns(fleet(engines), 2)) {
            ++groups[weightsLoadTime(turn, pace, {Core::TimePoint::min(), start})];
        }
        EXPECT_EQ(groups.begin()->first, start) << engines;
        EXPECT_LE(groups.rbegin()->first + pace.loadTime, start + pace.spread) << engines;
        for (const auto &[at, count] : groups) {
            EXPECT_LE(count, std::max(3, engines / 7 + 1)) << engines;
        }
    }
}

// An engine alone need not wait for those that are done.
TEST(WeightsScheduleTest, letsTheLastEngineLoadAtOnceWhenNobodyKnowsSinceWhen)
{
    std::vector<WeightsHolder> holders = fleet(18, 2);
    holders[7].version = 1;
    EXPECT_EQ(weightsLoadTime(weightsTurns(holders, 2).at("7"), {}, {Core::TimePoint::min(), start}), start);
}

// The register cannot be read: engines that draw their turns must not load together either, nor later than by the register.
TEST(WeightsScheduleTest, spreadsDrawnTurnsEvenly)
{
    const WeightsPace pace;
    constexpr int engines = 400;
    std::map<Core::TimePoint, int> groups;
    for (const WeightsHolder &holder : fleet(engines)) {
        ++groups[weightsLoadTime(drawnWeightsTurn(holder.id, 2), pace, {start, start})];
    }
    EXPECT_GE(groups.size(), 6U);
    EXPECT_LE(groups.rbegin()->first + pace.loadTime, start + pace.notice + pace.spread);
    for (const auto &[at, count] : groups) {
        EXPECT_LE(count, 2 * engines / static_cast<int>(groups.size()));
    }
}

TEST(WeightsScheduleTest, isDueAtOnceWhenTheTurnHasPassed)
{
    const WeightsPace pace;
    const std::vector<WeightsHolder> holders = fleet(9);
    for (const WeightsHolder &holder : holders) {
        EXPECT_LE(weightsLoadTime(holders, holder.id, 2, pace, start - 10s), start);
    }
}

// Routers that started in the middle, or were late, tell other turns than the rest.
TEST(WeightsScheduleTest, bringsALoadForwardAndNeverPutsItBack)
{
    const WeightsPace pace;
    const WeightsTurn turn{9, 4, 0};
    const Core::TimePoint planned = weightsLoadTime(turn, pace, {start, start});
    EXPECT_FALSE(bringsForward(turn, pace, {start, start + 100ms}, planned));
    EXPECT_FALSE(bringsForward({9, 8, 0}, pace, {start, start + 100ms}, planned));
    EXPECT_FALSE(bringsForward(turn, pace, {start + 1s, start + 1s}, planned));
    EXPECT_FALSE(bringsForward({9, 0, 0}, pace, {Core::TimePoint::min(), start + 100ms}, planned));
    EXPECT_FALSE(bringsForward({}, pace, {start, start + 100ms}, planned));
    EXPECT_TRUE(bringsForward({9, 0, 0}, pace, {start, start + 100ms}, planned));
    EXPECT_TRUE(bringsForward(turn, pace, {start - 1s, start + 100ms}, planned));
    EXPECT_FALSE(bringsForward(turn, pace, {start - 1s, planned}, planned));
    EXPECT_EQ(weightsLoadTime({9, 8, 0}, pace, {start, start}, planned), planned);
}

TEST(WeightsChoiceTest, listsTheNewestUsableVersionFirst)
{
    WeightsHistory history;
    history.note(1, start - 60s);
    history.note(2, start - 20s);
    history.note(3, start);
    const std::map<std::uint64_t, std::size_t> servers{{1, 4}, {2, 4}, {3, 4}, {4, 0}};
    EXPECT_EQ(usableWeights(servers, history, {}, start + 1s), (std::vector<std::uint64_t>{3, 2}));
    EXPECT_EQ(usableWeights(servers, history, {}, start + 9s), (std::vector<std::uint64_t>{3}));
}

} // namespace

} // namespace Verbena::Decisions
