#include <decisions/relay/admission.h>
#include <decisions/relay/loadshedder.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;
const std::string service = "engines";
constexpr std::uint32_t urgent = 0;
constexpr std::uint32_t background = 2;

struct Shares
{
    double urgentRefused = 0;
    double backgroundRefused = 0;
};

// One engine that reads prompts in order: 10 long prompts a second of 175 ms each, which alone are more than it can read, and 20 short urgent ones of 15 ms.
Shares replayMixedOverload(LoadShedder &shedder)
{
    std::map<std::uint32_t, int> refused;
    std::map<std::uint32_t, int> offered;
    Core::TimePoint freeAt = start;
    const auto offer = [&](std::uint32_t priority, std::chrono::milliseconds work, std::chrono::microseconds target, Core::TimePoint now) {
        const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(std::max(freeAt, now) - now);
        ++offered[priority];
        if (refusalRetryDelay({wait, shedder.acceptableWait(service, priority, target, now), 5s}).has_value()) {
            shedder.recordRefused(service, priority, now);
            ++refused[priority];
            return;
        }
        shedder.recordAdmitted(service, priority, now);
        freeAt = std::max(freeAt, now) + work;
    };
    for (int tick = 0; tick < 1200; ++tick) {
        const Core::TimePoint now = start + tick * 50ms;
        if (tick % 2 == 0) {
            offer(background, 175ms, 900ms, now);
        }
        offer(urgent, 15ms, 300ms, now + 10ms);
    }
    return {static_cast<double>(refused[urgent]) / offered[urgent], static_cast<double>(refused[background]) / offered[background]};
}

} // namespace

// Urgent requests were refused because the queues were full of long prompts of low priority, whose targets let them wait longer.
TEST(LoadShedderTest, refusesBackgroundRequestsBeforeUrgentOnes)
{
    LoadShedder none(0);
    const Shares before = replayMixedOverload(none);
    LoadShedder shedder(1);
    const Shares after = replayMixedOverload(shedder);
    EXPECT_GT(before.urgentRefused, 0.5);
    EXPECT_LT(after.urgentRefused, 0.1);
    EXPECT_GT(after.backgroundRefused, before.backgroundRefused);
    EXPECT_LT(after.backgroundRefused, 0.9);
}

TEST(LoadShedderTest, leavesAloneWhatIsMoreUrgentOrAsUrgent)
{
    LoadShedder shedder(1);
    for (int request = 0; request < 100; ++request) {
        shedder.recordRefused(service, background, start);
    }
    EXPECT_EQ(shedder.acceptableWait(service, urgent, 300ms, start), 300ms);
    EXPECT_EQ(shedder.acceptableWait(service, background, 900ms, start), 900ms);
    EXPECT_EQ(shedder.acceptableWait("others", background + 1, 900ms, start), 900ms);
}

TEST(LoadShedderTest, yieldsOnlyAcrossTheGap)
{
    LoadShedder shedder(2);
    for (int request = 0; request < 100; ++request) {
        shedder.recordRefused(service, urgent, start);
    }
    EXPECT_EQ(shedder.acceptableWait(service, urgent + 1, 900ms, start), 900ms);
    EXPECT_EQ(shedder.acceptableWait(service, urgent + 2, 900ms, start), 0ms);
}

// An unlimited wait times a fraction is no number of microseconds.
TEST(LoadShedderTest, boundsAnUnlimitedWait)
{
    LoadShedder shedder(1);
    shedder.recordRefused(service, urgent, start);
    for (int request = 0; request < 50; ++request) {
        shedder.recordAdmitted(service, urgent, start);
    }
    const auto wait = shedder.acceptableWait(service, background, std::chrono::microseconds::max(), start);
    EXPECT_GT(wait, 1s);
    EXPECT_LT(wait, 5s);
}

// Background requests would be refused for good if the last urgent request had been refused and no other came.
TEST(LoadShedderTest, forgetsRefusalsWithoutFurtherRequests)
{
    LoadShedder shedder(1);
    for (int request = 0; request < 1000; ++request) {
        shedder.recordRefused(service, urgent, start);
    }
    EXPECT_EQ(shedder.acceptableWait(service, background, 900ms, start), 0ms);
    EXPECT_GT(shedder.acceptableWait(service, background, 900ms, start + 30s), 800ms);
}

// One refusal limited the wait of requests without a target for many minutes.
TEST(LoadShedderTest, forgetsARefusalWithinSeconds)
{
    LoadShedder shedder(1);
    for (int request = 0; request < 5; ++request) {
        shedder.recordRefused(service, urgent, start);
    }
    EXPECT_LT(shedder.acceptableWait(service, background, std::chrono::microseconds::max(), start), 1s);
    EXPECT_EQ(shedder.acceptableWait(service, background, std::chrono::microseconds::max(), start + 30s), std::chrono::microseconds::max());
}

} // namespace Verbena::Decisions
