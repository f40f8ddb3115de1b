#include <decisions/gate/costmodel.h>
#include <decisions/gate/overloadcontrol.h>
#include <decisions/gate/prefixloadmeter.h>

#include <gtest/gtest.h>

namespace Verbena::Decisions {

namespace {

using std::chrono::milliseconds;

Core::TimePoint at(int count)
{
    return Core::TimePoint(std::chrono::milliseconds(count));
}

OverloadOptions withoutStandingQueueTime()
{
    OverloadOptions options;
    options.standingQueueTime = milliseconds(0);
    return options;
}

TEST(OverloadControlTest, fallsFastAndRisesSlowly)
{
    OverloadOptions options = withoutStandingQueueTime();
    options.lowWaitPeriods = 5;
    OverloadControl control(options);
    EXPECT_EQ(control.level(), 0U);
    EXPECT_FALSE(control.isRefused(15));
    int now = 0;
    while (control.level() != 1) {
        control.addWaitSample(milliseconds(5000), at(now += 100));
        ASSERT_LT(now, 1000);
    }
    EXPECT_TRUE(control.isRefused(1));
    EXPECT_FALSE(control.isRefused(0));
    const int lowestLevelAt = now;
    while (control.level() != 0) {
        control.addWaitSample(milliseconds(0), at(now += 100));
        ASSERT_LT(now, 20000);
    }
    EXPECT_GE(now - lowestLevelAt, 7500);
    EXPECT_EQ(control.nextDeadline(), std::nullopt);
}

TEST(OverloadControlTest, countsOnlyAStandingQueue)
{
    OverloadControl control;
    for (int now = 100; now <= 5000; now += 100) {
        control.addWaitSample(milliseconds(now % 1000 == 0 ? 900 : 5000), at(now));
        EXPECT_EQ(control.level(), 0U);
    }
    for (int now = 5100; now <= 6000; now += 100) {
        control.addWaitSample(milliseconds(5000), at(now));
        EXPECT_EQ(control.level(), 0U);
    }
    control.addWaitSample(milliseconds(5000), at(6100));
    EXPECT_EQ(control.level(), 12U);
}

TEST(OverloadControlTest, keepsLevelBetweenLowAndHighWait)
{
    OverloadControl control(withoutStandingQueueTime());
    control.addWaitSample(milliseconds(1500), at(100));
    EXPECT_EQ(control.level(), 15U);
    for (int now = 200; now < 5000; now += 100) {
        control.addWaitSample(milliseconds(now % 200 == 0 ? 600 : 100), at(now));
        EXPECT_EQ(control.level(), 15U);
    }
}

TEST(PrefixLoadMeterTest, widensAHotPrefixAndNarrowsItAgain)
{
    PrefixLoadMeter meter;
    const std::vector<PrefixKey> keys{PrefixKey(1), PrefixKey(2)};
    int now = 0;
    for (; now < 1000; now += 10) {
        meter.recordDemand(keys, milliseconds(1), at(now));
    }
    EXPECT_EQ(meter.hint(keys), std::nullopt);
    for (; now < 10000; now += 10) {
        meter.recordDemand(keys, milliseconds(20), at(now));
    }
    ASSERT_TRUE(meter.hint(keys));
    EXPECT_EQ(meter.hint(keys)->key, PrefixKey(2));
    EXPECT_GE(meter.hint(keys)->width, 4U);
    for (; now < 120000; now += 1000) {
        meter.recordDemand(keys, milliseconds(1), at(now));
    }
    EXPECT_EQ(meter.hint(keys), std::nullopt);
}

TEST(PrefixLoadMeterTest, keepsHotPrefixesWhenFull)
{
    PrefixLoadOptions options;
    options.maximumKeys = 16;
    PrefixLoadMeter meter(options);
    for (int i = 0; i < 1000; ++i) {
        meter.recordDemand({PrefixKey(7)}, milliseconds(1), at(i));
        meter.recordDemand({PrefixKey(100 + std::uint64_t(i))}, milliseconds(1), at(i));
        ASSERT_LE(meter.size(), 16U);
    }
    EXPECT_GT(meter.load(PrefixKey(7), at(1000)), 0.3);
}

TEST(CostModelTest, estimatesCostsFromSamples)
{
    CostModel model;
    for (int i = 0; i < 200; ++i) {
        model.addPrefill(4096, milliseconds(402));
        model.addTokenInterval(milliseconds(40), 8);
        model.addAnswerLength(50, 200);
    }
    EXPECT_NEAR(std::chrono::duration<double>(model.prefillPerPiece()).count(), 0.2, 0.001);
    EXPECT_NEAR(std::chrono::duration<double>(model.expectedDecodeWork(200)).count(), 50 * 0.005, 0.001);
    EXPECT_EQ(model.missingTokens(5000, 2), 904U);
    EXPECT_EQ(model.missingTokens(4000, 2), 0U);
}

} // namespace

} // namespace Verbena::Decisions
