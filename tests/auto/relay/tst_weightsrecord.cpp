#include <decisions/relay/weightschoice.h>
#include <decisions/relay/weightsrecord.h>
#include <store/storeclockestimate.h>

#include <gtest/gtest.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::BootTime bootStart = Core::BootTime() + 1h;
const Core::TimePoint start = Core::TimePoint() + 1h;

TEST(StoreClockEstimateTest, returnsNoAgeBeforeItHasReadTheClock)
{
    EXPECT_EQ(Store::StoreClockEstimate().age(Store::StoreTime(1s), bootStart), std::nullopt);
}

// An age that is too small would let old weights be used too long; one that is a little too large costs little.
TEST(StoreClockEstimateTest, neverUnderestimatesAnAge)
{
    Store::StoreClockEstimate clock;
    const Store::StoreTime askedAt(100s);
    clock.addReading({askedAt + 300ms, bootStart}); // Read when the question arrived, or up to 300 ms later.
    EXPECT_GE(clock.age(askedAt, bootStart + 2s), 2300ms);
    EXPECT_LE(clock.age(askedAt, bootStart + 2s), 2301ms); // Two clocks drift apart.
    clock.addReading({askedAt + 1005ms, bootStart + 1s});
    EXPECT_GE(clock.age(askedAt, bootStart + 2s), 2005ms);
    EXPECT_LE(clock.age(askedAt, bootStart + 2s), 2006ms);
    clock.addReading({askedAt + 5s, bootStart + 1500ms}); // A question that was delayed.
    EXPECT_LE(clock.age(askedAt, bootStart + 2s), 2006ms);
}

TEST(StoreClockEstimateTest, countsTheTimeForWhichTheHostWasSuspended)
{
    Store::StoreClockEstimate clock;
    clock.addReading({Store::StoreTime(100s), bootStart});
    EXPECT_GE(clock.age(Store::StoreTime(100s), bootStart + 10min), 10min);
    EXPECT_LE(clock.age(Store::StoreTime(100s), bootStart + 10min), 10min + 200ms);
}

TEST(StoreClockEstimateTest, returnsNoAgeOfAFutureTime)
{
    Store::StoreClockEstimate clock;
    clock.addReading({Store::StoreTime(100s), bootStart});
    EXPECT_EQ(clock.age(Store::StoreTime(103s), bootStart + 2s), std::nullopt);
}

// Two clocks that are not synchronised differ by 20 or more parts in a million, and a router runs for days.
TEST(StoreClockEstimateTest, doesNotUnderestimateAnAgeBecauseOfClockDrift)
{
    Store::StoreClockEstimate clock;
    constexpr auto hour = std::chrono::hours(1);
    constexpr std::chrono::microseconds gainPerHour = 72ms; // 20 parts in a million.
    Store::StoreTime reported{};
    Core::BootTime now = bootStart;
    for (int number = 0; number <= 72; ++number) {
        now = bootStart + number * hour;
        reported = Store::StoreTime(std::chrono::floor<Store::StoreTime::duration>(number * (hour + gainPerHour)));
        clock.addReading({reported, now});
    }
    // A row written at the time that the store last reported is two seconds old two seconds later.
    EXPECT_GE(clock.age(reported, now + 2s), 1900ms);
}

TEST(WeightsRecordTest, decodesWhatItEncoded)
{
    WeightsRecord record;
    record.add({0, 2, Store::StoreTime(10s)});
    record.add({2, 5, Store::StoreTime(20s)});
    const auto read = WeightsRecord::decode(record.encode());
    ASSERT_TRUE(read);
    ASSERT_EQ(read.value().entries().size(), 2U);
    EXPECT_TRUE(read.value().contains(2));
    EXPECT_TRUE(read.value().contains(5));
    EXPECT_FALSE(read.value().contains(3));
    EXPECT_EQ(read.value().entries().back().after, 2U);
    EXPECT_EQ(read.value().entries().back().notBefore, Store::StoreTime(20s));
}

TEST(WeightsRecordTest, rejectsMalformedRecords)
{
    EXPECT_TRUE(WeightsRecord::decode(""));
    EXPECT_FALSE(WeightsRecord::decode("agent side-1"));
    EXPECT_FALSE(WeightsRecord::decode("3 3 100\n"));
    EXPECT_FALSE(WeightsRecord::decode("3 4\n"));
    EXPECT_FALSE(WeightsRecord::decode("3 4 -5\n"));
    EXPECT_FALSE(WeightsRecord::decode("3 4 9000000000000000000\n"));
}

TEST(WeightsRecordTest, keepsTheLaterOfTwoProvenTimes)
{
    WeightsRecord record;
    record.add({1, 2, Store::StoreTime(10s)});
    WeightsRecord other;
    other.add({0, 2, Store::StoreTime(12s)});
    other.add({2, 3, Store::StoreTime(15s)});
    record.merge(other);
    ASSERT_EQ(record.entries().size(), 2U);
    EXPECT_EQ(record.entries().front().notBefore, Store::StoreTime(12s));
    other.add({1, 2, Store::StoreTime(9s)});
    record.merge(other);
    EXPECT_EQ(record.entries().front().notBefore, Store::StoreTime(12s));
}

TEST(WeightsHistoryTest, usesNoWeightsOfUnknownAge)
{
    WeightsHistory history;
    EXPECT_TRUE(history.record(2, Core::TimePoint::min()));
    EXPECT_TRUE(usableWeights({{1, 3}}, history, {}, start).empty());
    EXPECT_EQ(usableWeights({{1, 3}, {2, 1}}, history, {}, start), (std::vector<std::uint64_t>{2}));
    // Once the record gives the time, they are used again for the rest of their time.
    EXPECT_FALSE(history.record(2, start - 2s));
    EXPECT_EQ(usableWeights({{1, 3}, {2, 1}}, history, {}, start), (std::vector<std::uint64_t>{2, 1}));
    EXPECT_EQ(usableWeights({{1, 3}, {2, 1}}, history, {}, start + 6s), (std::vector<std::uint64_t>{2}));
}

// A router that has just started knows only the newest version. If an earlier one was announced before it, the weights below that one have been outdated for
// longer.
TEST(WeightsHistoryTest, datesAnEngineTwoVersionsBehindFromTheFirstNewerAnnouncement)
{
    WeightsHistory history;
    history.record(3, start);
    EXPECT_EQ(history.outdatedSince(1), start);
    EXPECT_FALSE(history.record(2, start - 5s));
    EXPECT_EQ(history.outdatedSince(1), start - 5s);
    EXPECT_EQ(history.outdatedSince(2), start);
    EXPECT_EQ(history.newest(), 3U);
}

} // namespace

} // namespace Verbena::Decisions
