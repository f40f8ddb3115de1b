#include "resendmodel.h"

#include <decisions/relay/stalldetector.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

constexpr ResendLimits limits{0.2, 52, 10'000ms};
constexpr auto step = 100ms;

// Backend servers start to refuse calls, and all routers are killed every four seconds.
TEST(ResendBudgetTest, staysWithinTheLimitsIfRoutersAreKilledTwiceInAWindow)
{
    ResendModel model(limits, 3, 3);
    for (auto passed = 0ms; passed < 30s; passed += step) {
        if (passed == 9s || passed == 13s || passed == 17s) {
            for (std::size_t router = 0; router < model.routers(); ++router) {
                model.kill(router, 600ms);
            }
        }
        for (std::size_t router = 0; router < model.routers(); ++router) {
            model.send(router, 7, passed < 4s ? 0 : 2, ResendPurpose::Failure);
        }
        model.advance(step);
    }
    EXPECT_GT(model.resends(), 300U);
    EXPECT_LE(model.excess(), 0);
}

// A window of no time made the level no number, and then each resend was granted.
TEST(ResendBudgetTest, windowOfNoTimeGrantsAnyResend)
{
    ResendBudget budget({0.2, 10, 0ms}, 1, Core::TimePoint() + 1h);
    int granted = 0;
    for (int resend = 0; resend < 1000; ++resend) {
        granted += budget.tryConsume("reader", ResendPurpose::Failure, Core::TimePoint() + 1h) ? 1 : 0;
    }
    EXPECT_LE(granted, 10);
}

struct Disruption
{
    int atStep = 0;
    int kind = 0;
    std::size_t router = 0;
    int steps = 0;
};

void disrupt(ResendModel &model, const Disruption &disruption)
{
    const std::size_t router = disruption.router % model.routers();
    switch (disruption.kind) {
    case 0:
        model.kill(router, disruption.steps * step);
        return;
    case 1:
        model.freeze(router, disruption.steps * step);
        return;
    case 2:
        for (std::size_t each = 0; each < model.routers(); ++each) {
            model.kill(each, disruption.steps * step);
        }
        return;
    case 3:
        for (std::size_t each = 0; each < model.routers(); ++each) {
            model.freeze(each, disruption.steps * step);
        }
        return;
    default:
        if (model.routers() < 6) {
            model.addRouter();
        }
        return;
    }
}

rc::Gen<Disruption> anyDisruption(int steps)
{
    return rc::gen::build<Disruption>(rc::gen::set(&Disruption::atStep, rc::gen::inRange(0, steps)),
        rc::gen::set(&Disruption::kind, rc::gen::inRange(0, 5)),
        rc::gen::set(&Disruption::router, rc::gen::inRange<std::size_t>(0, 6)),
        rc::gen::set(&Disruption::steps, rc::gen::inRange(0, 60)));
}

// Any sequence of starts, kills, freezes and added routers, with assumed numbers of routers that are too high, or too low by up to a third, and with traffic
// that shifts between routers as when a load balancer removes one.
TEST(ResendBudgetTest, staysWithinTheLimitsUnderAnyDisruptions)
{
    EXPECT_TRUE(rc::check([] {
        constexpr int steps = 350;
        ResendModel model(limits, static_cast<std::size_t>(*rc::gen::inRange(1, 5)), 8);
        const auto purpose = *rc::gen::element(ResendPurpose::Move, ResendPurpose::Failure, ResendPurpose::BegunStream);
        const auto disruptions = *rc::gen::container<std::vector<Disruption>>(anyDisruption(steps));
        const auto traffic = *rc::gen::container<std::vector<int>>(64, rc::gen::inRange(0, 9));
        const auto failing = *rc::gen::container<std::vector<int>>(16, rc::gen::element(0, 0, 1, 3));
        const auto countOffsets = *rc::gen::container<std::vector<int>>(16, rc::gen::inRange(-2, 6));
        for (int at = 0; at < steps; ++at) {
            for (const Disruption &disruption : disruptions) {
                if (disruption.atStep == at) {
                    disrupt(model, disruption);
                }
            }
            for (std::size_t router = 0; router < model.routers(); ++router) {
                const auto phase = static_cast<std::size_t>(at) / 25 + router * 7;
                const int routers = static_cast<int>(model.routers());
                model.setCount(router, static_cast<std::uint32_t>(std::max(countOffsets[phase % countOffsets.size()] + routers, (2 * routers + 2) / 3)));
                model.send(router, traffic[phase % traffic.size()], failing[static_cast<std::size_t>(at) / 20 % failing.size()], purpose);
            }
            model.advance(step);
        }
        RC_ASSERT(model.excess() <= 0);
    }));
}

// A process that is killed right after it has used its budget must not get it again.
TEST(ResendBudgetTest, startsEmpty)
{
    ResendModel model({0, 52, 10s}, 3, 3);
    for (auto passed = 0ms; passed < 20s; passed += step) {
        for (std::size_t router = 0; router < model.routers(); ++router) {
            model.send(router, 1, 20, ResendPurpose::BegunStream);
            if (passed % 300ms == 0ms) {
                model.kill(router, step);
            }
        }
        model.advance(step);
    }
    EXPECT_LE(model.excess(), 0);
}

// No call fails for two windows, then all fail: saved and newly earned resends are used in one window.
TEST(ResendBudgetTest, staysWithinTheLimitsWithSavedAndEarnedResends)
{
    ResendModel model({0.2, 0, 10s}, 3, 3);
    for (auto passed = 0ms; passed < 30s; passed += step) {
        for (std::size_t router = 0; router < model.routers(); ++router) {
            model.send(router, 10, passed < 20s ? 0 : 20, ResendPurpose::BegunStream);
        }
        model.advance(step);
    }
    EXPECT_GT(model.resends(), 400U);
    EXPECT_LE(model.excess(), 0);
}

// Checks the sum over all routers, each with its own part of the requests, against the limits of the service in any window.
TEST(ResendBudgetTest, keepsTheSumOfAllRoutersWithinTheLimits)
{
    EXPECT_TRUE(rc::check([] {
        constexpr std::uint32_t routerCount = 5;
        const ResendLimits allowed{0.2, 54, 10'000ms};
        const auto purpose = *rc::gen::element(ResendPurpose::Move, ResendPurpose::Failure, ResendPurpose::BegunStream);
        const auto shares = *rc::gen::container<std::vector<int>>(routerCount, rc::gen::inRange(0, 8));
        const Core::TimePoint start = Core::TimePoint() + 1h;
        std::vector<ResendBudget> routers(routerCount, ResendBudget(allowed, routerCount, start));
        std::vector<Core::TimePoint> requests;
        std::vector<Core::TimePoint> resends;
        for (auto passed = 0ms; passed < 25'000ms; passed += 50ms) {
            const Core::TimePoint now = start + passed;
            for (std::uint32_t router = 0; router < routerCount; ++router) {
                for (int request = 0; request < shares[router]; ++request) {
                    routers[router].recordRequest("s", now);
                    requests.push_back(now);
                    if (routers[router].tryConsume("s", purpose, now)) {
                        resends.push_back(now);
                    }
                }
            }
        }
        for (auto end = 10'000ms; end <= 25'000ms; end += 2500ms) {
            const auto inWindow = [&](const std::vector<Core::TimePoint> &times) {
                return std::count_if(times.begin(), times.end(), [&](Core::TimePoint at) { return at > start + end - 10'000ms && at <= start + end; });
            };
            RC_ASSERT(static_cast<double>(inWindow(resends)) <= 0.2 * static_cast<double>(inWindow(requests)) + 54);
        }
    }));
}

// Weights versions that follow each other quickly move streams from one engine after the other. If moves used up the budget, a stream would break off when
// the next engine refuses it.
TEST(ResendBudgetTest, reservesResendsForStreamsThatBreakOff)
{
    const Core::TimePoint now = Core::TimePoint() + 1h;
    ResendBudget budget({0.2, 50, 10'000ms}, 1, now - 1h);
    for (int request = 0; request < 1000; ++request) {
        budget.recordRequest("s", now);
    }
    const auto consumeAll = [&](ResendPurpose purpose) {
        int consumed = 0;
        while (budget.tryConsume("s", purpose, now)) {
            ++consumed;
        }
        return consumed;
    };
    EXPECT_EQ(consumeAll(ResendPurpose::Move), 40);
    EXPECT_GT(consumeAll(ResendPurpose::Failure), 10);
    EXPECT_GT(consumeAll(ResendPurpose::BegunStream), 5);
    EXPECT_EQ(consumeAll(ResendPurpose::Move), 0);
}

// A bucket that was filled long ago allows no resends to a service that now gets few requests.
TEST(ResendBudgetTest, savesNoMoreThanTheLastWindowAllows)
{
    const Core::TimePoint start = Core::TimePoint() + 1h;
    ResendBudget budget({0.2, 0, 10s}, 1, start);
    for (int request = 0; request < 1000; ++request) {
        budget.recordRequest("s", start);
    }
    EXPECT_GT(budget.balance("s", ResendPurpose::BegunStream, start + 9s).available, 50);
    EXPECT_LT(budget.balance("s", ResendPurpose::BegunStream, start + 11s).available, 1);
}

TEST(ResendBudgetTest, earnsNothingFromRequestsReadAfterAStall)
{
    const Core::TimePoint start = Core::TimePoint() + 1h;
    ResendBudget budget({0.2, 0, 10s}, 1, start);
    budget.handleStall(start + 5s);
    for (int request = 0; request < 1000; ++request) {
        budget.recordRequest("s", start + 5s);
    }
    EXPECT_FALSE(budget.tryConsume("s", ResendPurpose::BegunStream, start + 5s));
}

TEST(StallDetectorTest, reportsFrozenProcessesOnly)
{
    const Core::TimePoint start = Core::TimePoint() + 1h;
    StallDetector detector(start);
    EXPECT_FALSE(detector.recordActivity(start + 100ms).has_value());
    EXPECT_FALSE(detector.recordActivity(start + 250ms).has_value());
    EXPECT_EQ(detector.recordActivity(start + 4s), 3750ms);
    EXPECT_FALSE(detector.recordActivity(start + 4s + 100ms).has_value());
}

} // namespace

} // namespace Verbena::Decisions
