#include "weightsfleet.h"

#include <decisions/relay/weightschoice.h>
#include <decisions/spread/randomsource.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;

TEST(WeightsChoiceTest, neverChoosesWeightsThatAreTooOld)
{
    EXPECT_TRUE(rc::check([] {
        // Uses a uniform distribution: the small numbers with which a generator begins reach no version that is too old.
        RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
        WeightsHistory history;
        std::map<std::uint64_t, std::size_t> servers;
        Core::TimePoint now = start;
        for (std::uint64_t version = 1; version <= 5; ++version) {
            history.record(version, now);
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

TEST(WeightsChoiceTest, sendsAFewNewEnginesMoreThanTheirShareButNotAll)
{
    WeightsHistory history;
    history.record(1, start);
    history.record(2, start + 1s);
    int newer = 0;
    for (std::uint64_t randomValue = 0; randomValue < 1000; ++randomValue) {
        newer += chooseWeights({{1, 15}, {2, 3}}, history, {}, start + 2s, randomValue * 1000) == std::optional<std::uint64_t>(2) ? 1 : 0;
    }
    EXPECT_GT(newer, 1000 * 3 / 18);
    EXPECT_LT(newer, 700);
}

// A slot behind all engines of the fleet, in a packet of any sender, delayed the load for years.
TEST(WeightsScheduleTest, slotBehindTheLastEngineNeverComes)
{
    EXPECT_TRUE(rc::check([] {
        const auto any = rc::gen::element<std::uint32_t>(0, 1, 2, 96, 10'000, 1U << 31, std::numeric_limits<std::uint32_t>::max());
        const RolloutSlot slot{*any, *any, *any};
        const RolloutOptions options;
        for (const Core::TimePoint announcedAt : {start, Core::TimePoint::min()}) {
            const Core::TimePoint loadTime = weightsLoadTime(slot, options, {announcedAt, start});
            RC_ASSERT(loadTime >= start);
            RC_ASSERT(loadTime <= start + options.noticePeriod + options.duration);
        }
    }));
}

// One of twenty streams lasts for three seconds. If the engine had to finish it first, it would accept no new work for as long.
TEST(WeightsScheduleTest, doesNotDelayALoadForTheLongestStream)
{
    const Core::TimePoint loadTime = Core::TimePoint() + 1h;
    const auto runningAt = [](std::chrono::milliseconds after) {
        return after < 200ms ? 20U : 1U;
    };
    std::chrono::milliseconds idle{0};
    while (mayDeferLoad(runningAt(idle), loadTime, loadTime + idle) && idle < 3s) {
        idle += 10ms;
    }
    EXPECT_GE(idle, 200ms);
    EXPECT_LE(idle, 500ms);
    EXPECT_FALSE(mayDeferLoad(0, loadTime, loadTime));
}

TEST(WeightsScheduleTest, loadsSmallGroupsInTurnAndTheOldestFirst)
{
    std::vector<WeightsHolder> holders;
    holders.reserve(18);
    for (int number = 0; number < 18; ++number) {
        holders.push_back({std::to_string(number), number < 6 ? 1U : 2U});
    }
    const RolloutOptions options;
    std::map<Core::TimePoint, int> groups;
    Core::TimePoint lastOld{};
    Core::TimePoint firstNew = Core::TimePoint::max();
    for (const WeightsHolder &holder : holders) {
        const Core::TimePoint at = weightsLoadTime(holders, holder.id, 3, options, start);
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

// Versions follow each other faster than a rollout ends. With a new slot for each version the engine in the last slot would never load, and its requests would
// start on weights that are too old.
TEST(WeightsScheduleTest, keepsAnEnginesSlotWhenTheNextVersionIsAnnounced)
{
    const std::vector<WeightsHolder> holders = fleet(18);
    const RolloutOptions options;
    for (const WeightsHolder &holder : holders) {
        const Core::TimePoint first = weightsLoadTime(holders, holder.id, 2, options, start);
        Core::TimePoint planned = first;
        for (std::uint64_t version = 3; version < 9; ++version) {
            planned = weightsLoadTime(holders, holder.id, version, options, start + 400ms * version, planned);
        }
        EXPECT_LE(planned, first);
    }
}

// A fleet that is three times as large has to load more engines at once, or the last ones would load only after the old weights may no longer be used.
TEST(WeightsScheduleTest, endsWithinItsDurationInAFleetOfAnySize)
{
    const RolloutOptions options;
    for (const int engines : {1, 3, 18, 56, 400}) {
        const std::vector<WeightsHolder> holders = fleet(engines);
        std::map<Core::TimePoint, int> groups;
        for (const WeightsHolder &holder : holders) {
            ++groups[weightsLoadTime(holders, holder.id, 2, options, start)];
        }
        EXPECT_LE(groups.rbegin()->first + options.loadDuration, start + options.noticePeriod + options.duration) << engines;
        EXPECT_LE(groups.begin()->second, std::max(3, engines / 7 + 1)) << engines;
    }
}

// A process that restarts during a rollout reads a register in which the first engines already have the new weights. If those did not count, all other slots
// would move forward at once, and too many engines would load at a time. Three restarts within 4.5 s moved the load of the last engine from 24.8 s to 30.7 s,
// for weights that were announced at 20.0 s.
TEST(WeightsScheduleTest, computesTheSameSlotsDuringTheRollout)
{
    const RolloutOptions options;
    for (const int engines : {9, 18, 400}) {
        std::vector<WeightsHolder> holders = fleet(engines);
        std::map<std::string, Core::TimePoint> planned;
        for (const WeightsHolder &holder : holders) {
            planned[holder.id] = weightsLoadTime(holders, holder.id, 2, options, start);
        }
        const Core::TimePoint middle = start + options.noticePeriod + options.duration / 2;
        for (WeightsHolder &holder : holders) {
            holder.version = planned[holder.id] + options.loadDuration < middle ? 2 : 1;
        }
        const auto moved = std::count_if(holders.begin(), holders.end(), [&](const WeightsHolder &holder) {
            return holder.version == 1 && weightsLoadTime(holders, holder.id, 2, options, start) != planned[holder.id];
        });
        EXPECT_EQ(moved, 0) << engines;
    }
}

// Nine agents received an announcement without a slot and loaded in the same millisecond, so that no engine was left to serve:
//   weights_planned version=2 engines=0 before=0 in_ms=0, nine times
// If the time of the announcement is not known, slots that have all passed could have the same effect. The old weights are then not used any more, so the
// rollout has to be quick as well.
TEST(WeightsScheduleTest, neverLoadsAllEnginesAtOnceWithoutAnAnnouncementTime)
{
    const RolloutOptions options;
    for (const int engines : {4, 9, 18, 56, 400, 10000}) {
        std::map<Core::TimePoint, int> groups;
        for (const auto &[id, slot] : rolloutSlots(fleet(engines), 2)) {
            ++groups[weightsLoadTime(slot, options, {Core::TimePoint::min(), start})];
        }
        EXPECT_EQ(groups.begin()->first, start) << engines;
        EXPECT_LE(groups.rbegin()->first + options.loadDuration, start + options.duration) << engines;
        for (const auto &[at, count] : groups) {
            EXPECT_LE(count, std::max(3, engines / 7 + 1)) << engines;
        }
    }
}

// The last engine need not wait for those that have loaded.
TEST(WeightsScheduleTest, loadsTheLastEngineAtOnceWithoutAnAnnouncementTime)
{
    std::vector<WeightsHolder> holders = fleet(18, 2);
    holders[7].version = 1;
    EXPECT_EQ(weightsLoadTime(rolloutSlots(holders, 2).at("7"), {}, {Core::TimePoint::min(), start}), start);
}

// If the register cannot be read, engines with hashed slots must not load together either, nor later than with slots from the register.
TEST(WeightsScheduleTest, distributesHashedSlotsEvenly)
{
    const RolloutOptions options;
    constexpr int engines = 400;
    std::map<Core::TimePoint, int> groups;
    for (const WeightsHolder &holder : fleet(engines)) {
        ++groups[weightsLoadTime(hashedRolloutSlot(holder.id, 2), options, {start, start})];
    }
    EXPECT_GE(groups.size(), 6U);
    EXPECT_LE(groups.rbegin()->first + options.loadDuration, start + options.noticePeriod + options.duration);
    for (const auto &[at, count] : groups) {
        EXPECT_LE(count, 2 * engines / static_cast<int>(groups.size()));
    }
}

TEST(WeightsScheduleTest, isDueAtOnceWhenTheSlotHasPassed)
{
    const RolloutOptions options;
    const std::vector<WeightsHolder> holders = fleet(9);
    for (const WeightsHolder &holder : holders) {
        EXPECT_LE(weightsLoadTime(holders, holder.id, 2, options, start - 10s), start);
    }
}

// Routers that restarted during the rollout, or were late, send other slots than the rest.
TEST(WeightsScheduleTest, advancesALoadAndNeverDelaysIt)
{
    const RolloutOptions options;
    const RolloutSlot slot{9, 4, 0};
    const Core::TimePoint planned = weightsLoadTime(slot, options, {start, start});
    EXPECT_FALSE(isEarlierSlot(slot, options, {start, start + 100ms}, planned));
    EXPECT_FALSE(isEarlierSlot({9, 8, 0}, options, {start, start + 100ms}, planned));
    EXPECT_FALSE(isEarlierSlot(slot, options, {start + 1s, start + 1s}, planned));
    EXPECT_FALSE(isEarlierSlot({9, 0, 0}, options, {Core::TimePoint::min(), start + 100ms}, planned));
    EXPECT_FALSE(isEarlierSlot({}, options, {start, start + 100ms}, planned));
    EXPECT_TRUE(isEarlierSlot({9, 0, 0}, options, {start, start + 100ms}, planned));
    EXPECT_TRUE(isEarlierSlot(slot, options, {start - 1s, start + 100ms}, planned));
    EXPECT_FALSE(isEarlierSlot(slot, options, {start - 1s, planned}, planned));
    EXPECT_EQ(weightsLoadTime({9, 8, 0}, options, {start, start}, planned), planned);
}

TEST(WeightsChoiceTest, listsTheNewestUsableVersionFirst)
{
    WeightsHistory history;
    history.record(1, start - 60s);
    history.record(2, start - 20s);
    history.record(3, start);
    const std::map<std::uint64_t, std::size_t> servers{{1, 4}, {2, 4}, {3, 4}, {4, 0}};
    EXPECT_EQ(usableWeights(servers, history, {}, start + 1s), (std::vector<std::uint64_t>{3, 2}));
    EXPECT_EQ(usableWeights(servers, history, {}, start + 9s), (std::vector<std::uint64_t>{3}));
}

} // namespace

} // namespace Verbena::Decisions
