#include <decisions/relay/admission.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;

// After a change of weights all prompts are uncached: engines prefill 20 of them a second while 30 arrive. Without admission control the queue would grow for
// as long as that lasts, and after the first seconds no request would meet its target.
TEST(AdmissionTest, limitsTheQueueUnderSustainedOverload)
{
    constexpr auto target = 400ms;
    constexpr auto service = 50ms;
    WaitEstimate estimate;
    std::vector<std::chrono::microseconds> waits;
    Core::TimePoint now = start;
    Core::TimePoint freeAt = start;
    int refused = 0;
    for (int request = 0; request < 600; ++request) {
        now += 33ms;
        const auto queue = std::max(std::chrono::nanoseconds(0), freeAt - now);
        const auto waiting = static_cast<std::uint32_t>(queue / service);
        const auto comeBack = refusalRetryDelay({estimate.expectedWait(waiting, now), estimate.acceptableWait(target), 5s});
        if (comeBack.has_value()) {
            EXPECT_GE(*comeBack, 100ms);
            EXPECT_LE(*comeBack, 1500ms);
            ++refused;
            continue;
        }
        freeAt = std::max(freeAt, now) + service;
        const auto timeToFirstPart = std::chrono::duration_cast<std::chrono::microseconds>(freeAt - now + 100ms);
        estimate.addSample(waiting, timeToFirstPart, now);
        waits.push_back(timeToFirstPart);
    }
    const auto late = std::count_if(waits.begin(), waits.end(), [target](auto wait) { return wait > target; });
    EXPECT_LT(late, static_cast<long>(waits.size()) / 10);
    EXPECT_LT(refused, 600 / 2);
}

TEST(AdmissionTest, admitsAllIfNoRequestIsQueued)
{
    WaitEstimate estimate;
    for (int sample = 0; sample < 100; ++sample) {
        estimate.addSample(8, 5s, start);
        estimate.addSample(0, 5s, start);
    }
    EXPECT_FALSE(refusalRetryDelay({estimate.expectedWait(0, start), estimate.acceptableWait(300ms), 5s}).has_value());
}

// A router that refuses all requests gets no new samples, so an estimate from the worst second must not persist.
TEST(AdmissionTest, decaysOldSamples)
{
    WaitEstimate estimate;
    for (int sample = 0; sample < 100; ++sample) {
        estimate.addSample(4, 5s, start);
    }
    EXPECT_TRUE(refusalRetryDelay({estimate.expectedWait(2, start), estimate.acceptableWait(300ms), 5s}).has_value());
    EXPECT_LT(estimate.expectedWait(2, start + 2s), estimate.expectedWait(2, start));
}

// A busy engine stalls for a second now and then while it loads weights. The few requests that stall behind a short queue say little about the speed of a
// long one: behind 20 others a short prompt begins after 160 ms, far within its target of a second.
TEST(AdmissionTest, admitsShortPromptsBehindALongQueueDespiteStalls)
{
    WaitEstimate estimate;
    Core::TimePoint now = start;
    for (int request = 0; request < 300; ++request) {
        now += 10ms;
        const bool isStalled = request % 5 == 0;
        estimate.addSample(0, 70ms, now);
        estimate.addSample(isStalled ? 1 : 20, isStalled ? 5000ms : 230ms, now);
    }
    EXPECT_LT(estimate.expectedWait(20, now), 500ms);
    EXPECT_FALSE(refusalRetryDelay({estimate.expectedWait(20, now), estimate.acceptableWait(1s), 5s}).has_value());
}

// Sixty short prompts arrive at once after a stall of their engine, which prefills one in 12 ms. The last one begins after 720 ms and meets its target.
TEST(AdmissionTest, admitsABurstThatMeetsItsTarget)
{
    constexpr auto target = 1s;
    WaitEstimate estimate;
    for (int sample = 0; sample < 100; ++sample) {
        estimate.addSample(0, 70ms, start);
        estimate.addSample(20, 70ms + 20 * 12ms, start);
    }
    int refused = 0;
    int late = 0;
    for (int request = 0; request < 60; ++request) {
        const bool isRefused
            = refusalRetryDelay({estimate.expectedWait(static_cast<std::uint32_t>(request), start), estimate.acceptableWait(target), 5s}).has_value();
        refused += isRefused ? 1 : 0;
        late += !isRefused && request * 12ms + 70ms > target ? 1 : 0;
    }
    EXPECT_EQ(refused, 0);
    EXPECT_EQ(late, 0);
}

// The prefill of an uncached prompt of 17,000 tokens takes 400 ms of its target of 800 ms. Behind others of the same length it would miss the target.
TEST(AdmissionTest, refusesALongPromptThatWouldMissItsTarget)
{
    WaitEstimate estimate;
    for (int sample = 0; sample < 100; ++sample) {
        estimate.addSample(0, 400ms, start);
    }
    EXPECT_TRUE(refusalRetryDelay({350ms, estimate.acceptableWait(800ms), 10s}).has_value());
    EXPECT_FALSE(refusalRetryDelay({250ms, estimate.acceptableWait(800ms), 10s}).has_value());
}

TEST(AdmissionTest, refusesWhatCannotBeginBeforeItsCallerGivesUp)
{
    const WaitEstimate estimate;
    EXPECT_TRUE(refusalRetryDelay({2s, estimate.acceptableWait(0ms), 1500ms}).has_value());
    EXPECT_FALSE(refusalRetryDelay({1s, estimate.acceptableWait(0ms), 1500ms}).has_value());
}

} // namespace

} // namespace Verbena::Decisions
