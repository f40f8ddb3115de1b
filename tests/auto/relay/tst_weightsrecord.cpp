#include <decisions/relay/weightschoice.h>
#include <decisions/relay/weightsrecord.h>
#include <store/storeclockestimate.h>

#include <gtest/gtest.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::BootTime bootStart = Core::BootTime() + 1h;
const Core::TimePoint start = Core::TimePoint() + 1h;

TEST(StoreClockEstimateTest, tellsNoAgeBeforeItHasReadTheClock)
{
    EXPECT_EQ(Store::StoreClockEstimate().age(Store::StoreTime(1s), bootStart), std::nullopt);
}

// An age that is too small would let old weights be used too long; one that is a little too large costs little.
TEST(StoreClockEstimateTest, neverTakesAMomentForYoungerThanItIs)
{
    Store::StoreClockEstimate clock;
    const Store::StoreTime asked(100s);
    clock.note({asked + 300ms, bootStart}); // Read when the question came, or up to 300 ms later.
    EXPECT_GE(clock.age(asked, bootStart + 2s), 2300ms);
    EXPECT_LE(clock.age(asked, bootStart + 2s), 2301ms); // Two clocks drift apart.
    clock.note({asked + 1005ms, bootStart + 1s});
    EXPECT_GE(clock.age(asked, bootStart + 2s), 2005ms);
    EXPECT_LE(clock.age(asked, bootStart + 2s), 2006ms);
    clock.note({asked + 5s, bootStart + 1500ms}); // A question that waited.
    EXPECT_LE(clock.age(asked, bootStart + 2s), 2006ms);
}

TEST(StoreClockEstimateTest, countsTheTimeForWhichTheHostWasSuspended)
{
    Store::StoreClockEstimate clock;
    clock.note({Store::StoreTime(100s), bootStart});
    EXPECT_GE(clock.age(Store::StoreTime(100s), bootStart + 10min), 10min);
    EXPECT_LE(clock.age(Store::StoreTime(100s), bootStart + 10min), 10min + 200ms);
}

TEST(StoreClockEstimateTest, tellsNoAgeOfAMomentThatIsStillToCome)
{
    Store::StoreClockEstimate clock;
    clock.note({Store::StoreTime(100s), bootStart});
    EXPECT_EQ(clock.age(Store::StoreTime(103s), bootStart + 2s), std::nullopt);
}

TEST(WeightsRecordTest, readsWhatItWrote)
{
    WeightsRecord record;
    record.note({0, 2, Store::StoreTime(10s)});
    record.note({2, 5, Store::StoreTime(20s)});
    const auto read = WeightsRecord::decode(record.encode());
    ASSERT_TRUE(read);
    ASSERT_EQ(read.value().namings().size(), 2U);
    EXPECT_TRUE(read.value().knows(2));
    EXPECT_TRUE(read.value().knows(5));
    EXPECT_FALSE(read.value().knows(3));
    EXPECT_EQ(read.value().namings().back().after, 2U);
    EXPECT_EQ(read.value().namings().back().notBefore, Store::StoreTime(20s));
}

TEST(WeightsRecordTest, refusesWhatIsNoRecord)
{
    EXPECT_TRUE(WeightsRecord::decode(""));
    EXPECT_FALSE(WeightsRecord::decode("agent side-1"));
    EXPECT_FALSE(WeightsRecord::decode("3 3 100\n"));
    EXPECT_FALSE(WeightsRecord::decode("3 4\n"));
    EXPECT_FALSE(WeightsRecord::decode("3 4 -5\n"));
    EXPECT_FALSE(WeightsRecord::decode("3 4 9000000000000000000\n"));
}

TEST(WeightsRecordTest, takesTheLaterOfTwoDatesSinceBothAreProved)
{
    WeightsRecord record;
    record.note({1, 2, Store::StoreTime(10s)});
    WeightsRecord other;
    other.note({0, 2, Store::StoreTime(12s)});
    other.note({2, 3, Store::StoreTime(15s)});
    record.merge(other);
    ASSERT_EQ(record.namings().size(), 2U);
    EXPECT_EQ(record.namings().front().notBefore, Store::StoreTime(12s));
    other.note({1, 2, Store::StoreTime(9s)});
    record.merge(other);
    EXPECT_EQ(record.namings().front().notBefore, Store::StoreTime(12s));
}

TEST(WeightsHistoryTest, usesNoWeightsWhoseAgeNobodyKnows)
{
    WeightsHistory history;
    EXPECT_TRUE(history.note(2, Core::TimePoint::min()));
    EXPECT_TRUE(usableWeights({{1, 3}}, history, {}, start).empty());
    EXPECT_EQ(usableWeights({{1, 3}, {2, 1}}, history, {}, start), (std::vector<std::uint64_t>{2}));
    // The record tells when: they are used again for what is left of their time.
    EXPECT_FALSE(history.note(2, start - 2s));
    EXPECT_EQ(usableWeights({{1, 3}, {2, 1}}, history, {}, start), (std::vector<std::uint64_t>{2, 1}));
    EXPECT_EQ(usableWeights({{1, 3}, {2, 1}}, history, {}, start + 6s), (std::vector<std::uint64_t>{2}));
}

// A router that starts knows the newest version alone. That an earlier one was named before it makes the weights below that one older still.
TEST(WeightsHistoryTest, countsAnEngineTwoVersionsBehindFromTheFirstNamingAboveIts)
{
    WeightsHistory history;
    history.note(3, start);
    EXPECT_EQ(history.outdatedSince(1), start);
    EXPECT_FALSE(history.note(2, start - 5s));
    EXPECT_EQ(history.outdatedSince(1), start - 5s);
    EXPECT_EQ(history.outdatedSince(2), start);
    EXPECT_EQ(history.newest(), 3U);
}

} // namespace

} // namespace Verbena::Decisions
