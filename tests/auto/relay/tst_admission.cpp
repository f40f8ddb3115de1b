#include <decisions/relay/admission.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;

// All prompts are cold after new weights: engines read 20 of them a second and 30 come. Without the limit the queue would grow for as long as that lasts,
// and after the first seconds nobody would be answered in time.
TEST(AdmissionTest, keepsTheQueueShortUnderALoadThatStaysAboveWhatIsRead)
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
        const auto comeBack = refuseUntil({estimate.expected(waiting, now), estimate.bearable(target), 5s});
        if (comeBack.has_value()) {
            EXPECT_GE(*comeBack, 100ms);
            EXPECT_LE(*comeBack, 1500ms);
            ++refused;
            continue;
        }
        freeAt = std::max(freeAt, now) + service;
        const auto span = std::chrono::duration_cast<std::chrono::microseconds>(freeAt - now + 100ms);
        estimate.note(waiting, span, now);
        waits.push_back(span);
    }
    const auto late = std::count_if(waits.begin(), waits.end(), [target](auto wait) { return wait > target; });
    EXPECT_LT(late, static_cast<long>(waits.size()) / 10);
    EXPECT_LT(refused, 600 / 2);
}

TEST(AdmissionTest, neverRefusesWhereNothingWaits)
{
    WaitEstimate estimate;
    for (int sample = 0; sample < 100; ++sample) {
        estimate.note(8, 5s, start);
        estimate.note(0, 5s, start);
    }
    EXPECT_FALSE(refuseUntil({estimate.expected(0, start), estimate.bearable(300ms), 5s}).has_value());
}

// Whoever turns all away gets no samples; what was learned in the worst second may not hold for ever.
TEST(AdmissionTest, forgetsWhatNoRequestHasShownForASecond)
{
    WaitEstimate estimate;
    for (int sample = 0; sample < 100; ++sample) {
        estimate.note(4, 5s, start);
    }
    EXPECT_TRUE(refuseUntil({estimate.expected(2, start), estimate.bearable(300ms), 5s}).has_value());
    EXPECT_LT(estimate.expected(2, start + 2s), estimate.expected(2, start));
}

// A busy engine that stands still for a second now and then while it loads weights: the few that stall behind a short queue say little of how fast a long
// one goes. Behind 20 others a short prompt begins after 160 ms, far within its target of a second.
TEST(AdmissionTest, letsInShortPromptsBehindALongQueueThoughAFewStall)
{
    WaitEstimate estimate;
    Core::TimePoint now = start;
    for (int request = 0; request < 300; ++request) {
        now += 10ms;
        const bool isStalled = request % 5 == 0;
        estimate.note(0, 70ms, now);
        estimate.note(isStalled ? 1 : 20, isStalled ? 5000ms : 230ms, now);
    }
    EXPECT_LT(estimate.expected(20, now), 500ms);
    EXPECT_FALSE(refuseUntil({estimate.expected(20, now), estimate.bearable(1s), 5s}).has_value());
}

// Sixty short prompts come at once, as after a pause of their engine, which reads one in 12 ms: the last begins after 720 ms and is in time.
TEST(AdmissionTest, letsInABurstOfShortPromptsThatAreAllInTime)
{
    constexpr auto target = 1s;
    WaitEstimate estimate;
    for (int sample = 0; sample < 100; ++sample) {
        estimate.note(0, 70ms, start);
        estimate.note(20, 70ms + 20 * 12ms, start);
    }
    int refused = 0;
    int late = 0;
    for (int request = 0; request < 60; ++request) {
        const bool isRefused = refuseUntil({estimate.expected(static_cast<std::uint32_t>(request), start), estimate.bearable(target), 5s}).has_value();
        refused += isRefused ? 1 : 0;
        late += !isRefused && request * 12ms + 70ms > target ? 1 : 0;
    }
    EXPECT_EQ(refused, 0);
    EXPECT_EQ(late, 0);
}

// A cold prompt of 17,000 tokens takes 400 ms of its 800 by itself: behind others that take as long it would be late.
TEST(AdmissionTest, turnsAwayALongPromptThatWouldBeLateByItsOwnLength)
{
    WaitEstimate estimate;
    for (int sample = 0; sample < 100; ++sample) {
        estimate.note(0, 400ms, start);
    }
    EXPECT_TRUE(refuseUntil({350ms, estimate.bearable(800ms), 10s}).has_value());
    EXPECT_FALSE(refuseUntil({250ms, estimate.bearable(800ms), 10s}).has_value());
}

TEST(AdmissionTest, turnsAwayAtOnceWhatCannotBeginBeforeItsCallerLeaves)
{
    const WaitEstimate estimate;
    EXPECT_TRUE(refuseUntil({2s, estimate.bearable(0ms), 1500ms}).has_value());
    EXPECT_FALSE(refuseUntil({1s, estimate.bearable(0ms), 1500ms}).has_value());
}

} // namespace

} // namespace Verbena::Decisions
