#include <decisions/relay/halfclosedcaller.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const Core::TimePoint start = Core::TimePoint() + 1h;

// Time within which the work of a caller that has left has to end.
constexpr milliseconds leaveBound{500};

// Plays checks for a minute, with a write before each of them if the drawn number says so.
template<typename Judge>
void play(HalfClosedCaller &caller, const HalfClosedRequest &request, int writeEach, Judge judge)
{
    Core::TimePoint now = start;
    for (int number = 1; now < start + 1min; ++number) {
        if (writeEach > 0 && number % writeEach == 0) {
            caller.recordWrite(now);
        }
        judge(caller.nextStep(request, now), now);
        const Core::TimePoint next = caller.nextCheck(now);
        RC_ASSERT(next > now);
        now = next + milliseconds(*rc::gen::inRange(0, 30));
    }
}

RC_GTEST_PROP(HalfClosedCallerTest, keepsEveryCallerThatCanBeAsked, ())
{
    HalfClosedCaller caller(start);
    const bool endsWithCaller = *rc::gen::arbitrary<bool>();
    int probes = 0;
    play(caller, {endsWithCaller, true}, *rc::gen::inRange(0, 5), [&probes](HalfClosedStep step, Core::TimePoint) {
        RC_ASSERT(step != HalfClosedStep::GiveUp);
        probes += step == HalfClosedStep::Probe ? 1 : 0;
    });
    RC_ASSERT(probes <= HalfClosedCaller::maximumProbes);
}

RC_GTEST_PROP(HalfClosedCallerTest, keepsWhatRunsOnAnyway, ())
{
    HalfClosedCaller caller(start);
    play(caller, {false, false}, *rc::gen::inRange(0, 5), [](HalfClosedStep step, Core::TimePoint) { RC_ASSERT(step == HalfClosedStep::Wait); });
}

RC_GTEST_PROP(HalfClosedCallerTest, givesUpInTimeWhatCannotBeAsked, ())
{
    HalfClosedCaller caller(start);
    std::optional<Core::TimePoint> end;
    play(caller, {true, false}, 0, [&end](HalfClosedStep step, Core::TimePoint now) {
        if (step == HalfClosedStep::GiveUp && !end.has_value()) {
            end = now;
        }
    });
    RC_ASSERT(end.has_value());
    RC_ASSERT(*end >= start + HalfClosedCaller::unprobedTime);
    RC_ASSERT(*end < start + leaveBound);
}

TEST(HalfClosedCallerTest, asksTwiceWithinTheBound)
{
    HalfClosedCaller caller(start);
    EXPECT_EQ(caller.nextStep({true, true}, start), HalfClosedStep::Wait);
    const Core::TimePoint first = start + 100ms;
    EXPECT_LE(caller.nextCheck(start), first);
    EXPECT_EQ(caller.nextStep({true, true}, first), HalfClosedStep::Probe);
    EXPECT_EQ(caller.nextStep({true, true}, first + 1ms), HalfClosedStep::Wait);
    EXPECT_EQ(caller.nextStep({true, true}, start + leaveBound * 3 / 4), HalfClosedStep::Probe);
    EXPECT_EQ(caller.nextStep({true, true}, start + leaveBound), HalfClosedStep::Wait);
}

// A caller that leaves a moment after its FIN is found in time, as the reset that its second probe brings is looked for soon.
TEST(HalfClosedCallerTest, looksForTheResetSoonAfterEachProbe)
{
    HalfClosedCaller caller(start);
    Core::TimePoint now = start;
    for (int probes = 0; probes < 2;) {
        probes += caller.nextStep({true, true}, now) == HalfClosedStep::Probe ? 1 : 0;
        now = caller.nextCheck(now);
    }
    EXPECT_LT(now, start + leaveBound * 4 / 5);
}

TEST(HalfClosedCallerTest, partsOfTheAnswerServeAsProbes)
{
    HalfClosedCaller caller(start);
    caller.recordWrite(start);
    EXPECT_EQ(caller.nextStep({true, true}, start + 100ms), HalfClosedStep::Wait);
    EXPECT_EQ(caller.nextStep({true, false}, start + 10s), HalfClosedStep::Wait);
}

} // namespace

} // namespace Verbena::Decisions
