#include <decisions/relay/usageaccounts.h>
#include <decisions/relay/usageshare.h>
#include <decisions/spread/randomsource.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <set>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;
const UsageCap cap{20'000, 20'000, true, 1};
constexpr double longPrompt = 9'000;
constexpr double shortPrompt = 900;
constexpr UsageClaimant connected{1h, 28, 28};

UsageClaim claim(double cost, std::optional<std::uint32_t> priority)
{
    return {"dams", cap, 1, cost, priority};
}

// Requests of one kind that arrive at random; refused ones do not return.
struct Kind
{
    double cost = 0;
    std::optional<std::uint32_t> priority;
    std::chrono::milliseconds interval{0}; // Mean.
    int granted = 0;
    int refused = 0;
};

void play(UsageAccounts &accounts, std::vector<Kind> &kinds, std::chrono::seconds duration)
{
    RandomSource random(5);
    for (std::chrono::milliseconds at{0}; at < duration; at += 1ms) {
        for (Kind &kind : kinds) {
            if (random.uniform() * static_cast<double>(kind.interval.count()) < 1) {
                const bool isGranted = accounts.tryConsume(claim(kind.cost, kind.priority), connected, start + at).isGranted;
                (isGranted ? kind.granted : kind.refused) += 1;
            }
        }
    }
}

// Long prompts of the least urgent route took what ten urgent requests each need, and as many of both were refused.
TEST(UsageOrderTest, refusesNoUrgentRequestWhileLongPromptsExceedTheCap)
{
    UsageAccounts accounts(0, start - 1h);
    std::vector<Kind> kinds{{longPrompt, 2, 200ms}, {shortPrompt, 0, 70ms}};
    play(accounts, kinds, 60s);
    EXPECT_EQ(kinds[1].refused, 0);
    EXPECT_GE(kinds[0].granted * longPrompt + kinds[1].granted * shortPrompt, 0.95 * 60 * cap.perSecond);
}

// The urgent requests alone exceed the cap: others still get a tenth of it.
TEST(UsageOrderTest, doesNotStarveLongPromptsWhileUrgentRequestsExceedTheCap)
{
    UsageAccounts accounts(0, start - 1h);
    std::vector<Kind> kinds{{longPrompt, 2, 200ms}, {shortPrompt, 0, 20ms}};
    play(accounts, kinds, 60s);
    EXPECT_GE(kinds[0].granted * longPrompt, 0.09 * 60 * cap.perSecond);
    EXPECT_GE(kinds[1].granted * shortPrompt, 0.85 * 60 * cap.perSecond);
}

// A request is larger than what lies above the reserve.
TEST(UsageOrderTest, grantsALargeRequestWhenTheBucketIsFull)
{
    UsageAccounts accounts(0, start - 1h);
    EXPECT_TRUE(accounts.tryConsume(claim(8'000, 0), connected, start).isGranted);
    EXPECT_FALSE(accounts.tryConsume(claim(15'000, 5), connected, start + 300ms).isGranted);
    EXPECT_TRUE(accounts.tryConsume(claim(15'000, 5), connected, start + 400ms).isGranted);
}

// An organisation with claims of one priority only, or of routers that name none, is served as without an order.
TEST(UsageOrderTest, reservesNothingForASinglePriority)
{
    EXPECT_TRUE(rc::check([] {
        UsageAccounts ordered(0, start - 1h);
        UsageAccounts unordered(0, start - 1h);
        const auto priority = *rc::gen::inRange(0U, 10U);
        Core::TimePoint now = start;
        for (const auto &[pause, cost] :
            *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 900), rc::gen::inRange(1, 20'000)))) {
            now += std::chrono::milliseconds(pause);
            const UsageVerdict verdict = ordered.tryConsume(claim(cost, priority), connected, now);
            RC_ASSERT(verdict.isGranted == unordered.tryConsume(claim(cost, std::nullopt), connected, now).isGranted);
        }
    }));
}

struct Step
{
    int pause = 0;
    int cost = 0;
    std::uint32_t priority = 0;
};

std::vector<Step> anySteps()
{
    return *rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(rc::gen::set(&Step::pause, rc::gen::inRange(0, 200)),
        rc::gen::set(&Step::cost, rc::gen::inRange(1, 20'000)),
        rc::gen::set(&Step::priority, rc::gen::inRange(0U, 11U))));
}

// The owner is restarted or replaced at any time, and priorities of any kind compete, some from routers that name none.
TEST(UsageOrderTest, grantsNoMoreThanTheCapInAnyWindow)
{
    EXPECT_TRUE(rc::check([] {
        constexpr auto window = 2s;
        std::deque<std::pair<Core::TimePoint, double>> grants;
        double sum = 0;
        UsageAccounts accounts(0, start - 1h);
        Core::TimePoint now = start;
        for (const Step &step : anySteps()) {
            now += std::chrono::milliseconds(step.pause);
            if (step.cost % 199 == 0) {
                accounts = UsageAccounts(0, now);
            }
            const auto priority = step.priority < UsageReserve::priorityCount ? std::optional(step.priority) : std::nullopt;
            if (accounts.tryConsume(claim(step.cost, priority), connected, now).isGranted) {
                grants.emplace_back(now, step.cost);
                sum += step.cost;
            }
            while (!grants.empty() && grants.front().first + window < now) {
                sum -= grants.front().second;
                grants.pop_front();
            }
            RC_ASSERT(sum <= window.count() * cap.perSecond + cap.burst + 1);
        }
    }));
}

// Callers that retried when they were told to were refused again.
TEST(UsageOrderTest, grantsARequestAtTheTimeThatItsCallerWasTold)
{
    EXPECT_TRUE(rc::check([] {
        UsageAccounts accounts(0, start - 1h);
        UsageShare share(0, start - 1h);
        share.setRouterCount(28);
        Core::TimePoint now = start;
        for (const Step &step : anySteps()) {
            now += std::chrono::milliseconds(step.pause);
            const UsageClaim asked = claim(step.cost, std::min(step.priority, 9U));
            UsageAccounts later = accounts;
            const UsageVerdict verdict = later.tryConsume(asked, connected, now);
            RC_ASSERT(verdict.isGranted || later.tryConsume(asked, connected, now + verdict.retryAfter).isGranted);
            UsageShare laterShare = share;
            const UsageVerdict shared = laterShare.tryConsume(asked, now);
            RC_ASSERT(shared.isGranted || shared.retryAfter == 60s || laterShare.tryConsume(asked, now + shared.retryAfter).isGranted);
            accounts.tryConsume(asked, connected, now);
            share.tryConsume(asked, now);
        }
    }));
}

// What is owed to others grows while the caller waits.
TEST(UsageOrderTest, countsWhatOthersAreOwedInTheTimeThatACallerIsTold)
{
    UsageAccounts accounts(0, start - 1h);
    EXPECT_TRUE(accounts.tryConsume(claim(20'000, 0), connected, start).isGranted);
    EXPECT_FALSE(accounts.tryConsume(claim(9'000, 2), connected, start).isGranted);
    const UsageVerdict verdict = accounts.tryConsume(claim(9'000, 0), connected, start);
    EXPECT_EQ(verdict.retryAfter, 500ms);
    EXPECT_TRUE(accounts.tryConsume(claim(9'000, 0), connected, start + verdict.retryAfter).isGranted);
}

// A caller that obeyed a time above ten seconds found that what it was owed had been forgotten.
TEST(UsageOrderTest, grantsTheLargeRequestOfALoneCallerWhoReturnsWhenTold)
{
    const UsageCap large{1'000, 30'000, true, 1};
    UsageAccounts accounts(0, start - 1h);
    int granted = 0;
    Core::TimePoint returnsAt = start + 1s;
    for (Core::TimePoint now = start; now < start + 900s; now += 100ms) {
        accounts.tryConsume({"dams", large, 1, 200, 0}, connected, now);
        if (now >= returnsAt) {
            const UsageVerdict verdict = accounts.tryConsume({"dams", large, 1, 12'000, 2}, connected, now);
            granted += verdict.isGranted ? 1 : 0;
            returnsAt = now + spreadRetry(verdict.retryAfter, 1);
        }
    }
    EXPECT_GE(granted, 4);
}

// The owner is lost: long prompts used up the share of each router.
TEST(UsageOrderTest, keepsTheOrderInTheShareOfARouter)
{
    UsageShare share(0, start - 1h);
    share.setRouterCount(4);
    int refused = 0;
    int granted = 0;
    for (std::chrono::milliseconds at{0}; at < 60s; at += 50ms) {
        granted += share.tryConsume(claim(3'000, 2), start + at).isGranted ? 1 : 0;
        if (at % 500ms == 0ms) {
            refused += share.tryConsume(claim(shortPrompt, 0), start + at).isGranted ? 0 : 1;
        }
    }
    EXPECT_EQ(refused, 0);
    EXPECT_GE(granted * 3'000, 0.9 * (60 * cap.perSecond / 4 - 120 * shortPrompt));
}

// All requests that were refused at one moment returned at one moment.
TEST(UsageOrderTest, spreadsRetriesAndNamesNoneTooEarly)
{
    RandomSource random(7);
    std::set<std::chrono::milliseconds> times;
    for (int request = 0; request < 100; ++request) {
        const std::chrono::milliseconds retryAfter = spreadRetry(2s, random.uniform());
        EXPECT_GE(retryAfter, 2s);
        EXPECT_LE(retryAfter, 2500ms);
        times.insert(retryAfter);
    }
    EXPECT_GT(times.size(), 50U);
    EXPECT_LE(spreadRetry(0ms, 1), 150ms);
}

} // namespace

} // namespace Verbena::Decisions
