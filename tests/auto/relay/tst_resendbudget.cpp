#include "resendmodel.h"

#include <decisions/relay/standstill.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

constexpr ResendLimits limits{0.2, 52, 10'000ms};
constexpr auto step = 100ms;

// Backend servers turn calls away from one moment on, and all routers are killed every four seconds.
TEST(ResendBudgetTest, staysWithinTheLimitsThoughRoutersAreKilledTwiceInAWindow)
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
            model.add();
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

// Any order of starts, kills, freezes and newcomers, with counts of routers that are too high or too low by a third, and traffic that changes between routers
// as it does when a balancer takes one out.
TEST(ResendBudgetTest, staysWithinTheLimitsWhateverBecomesOfRouters)
{
    EXPECT_TRUE(rc::check([] {
        constexpr int steps = 350;
        ResendModel model(limits, static_cast<std::size_t>(*rc::gen::inRange(1, 5)), 8);
        const auto purpose = *rc::gen::element(ResendPurpose::Move, ResendPurpose::Failure, ResendPurpose::BegunStream);
        const auto disruptions = *rc::gen::container<std::vector<Disruption>>(anyDisruption(steps));
        const auto traffic = *rc::gen::container<std::vector<int>>(64, rc::gen::inRange(0, 9));
        const auto failing = *rc::gen::container<std::vector<int>>(16, rc::gen::element(0, 0, 1, 3));
        const auto beliefs = *rc::gen::container<std::vector<int>>(16, rc::gen::inRange(-2, 6));
        for (int at = 0; at < steps; ++at) {
            for (const Disruption &disruption : disruptions) {
                if (disruption.atStep == at) {
                    disrupt(model, disruption);
                }
            }
            for (std::size_t router = 0; router < model.routers(); ++router) {
                const auto phase = static_cast<std::size_t>(at) / 25 + router * 7;
                const int routers = static_cast<int>(model.routers());
                model.setCount(router, static_cast<std::uint32_t>(std::max(beliefs[phase % beliefs.size()] + routers, (2 * routers + 2) / 3)));
                model.send(router, traffic[phase % traffic.size()], failing[static_cast<std::size_t>(at) / 20 % failing.size()], purpose);
            }
            model.advance(step);
        }
        RC_ASSERT(model.excess() <= 0);
    }));
}

// A process that is killed as soon as it has used what it was given must not be given it again.
TEST(ResendBudgetTest, givesNothingToAProcessForItsStart)
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

// Nothing fails for two windows, and then everything: what was saved and what is earned meanwhile fall into one window.
TEST(ResendBudgetTest, bearsWhatItSavedBesideWhatItEarns)
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

// All routers together, each with its own part of the requests, against the limits that the service has in any window.
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
                    routers[router].noteRequest("s", now);
                    requests.push_back(now);
                    if (routers[router].tryTake("s", purpose, now)) {
                        resends.push_back(now);
                    }
                }
            }
        }
        for (auto end = 10'000ms; end <= 25'000ms; end += 2500ms) {
            const auto inWindow = [&](const std::vector<Core::TimePoint> &moments) {
                return std::count_if(moments.begin(), moments.end(), [&](Core::TimePoint at) { return at > start + end - 10'000ms && at <= start + end; });
            };
            RC_ASSERT(static_cast<double>(inWindow(resends)) <= 0.2 * static_cast<double>(inWindow(requests)) + 54);
        }
    }));
}

// Versions that follow each other quickly move streams off one engine after the other. If the moves used up the budget, the next engine that refuses one
// of them would break it off.
TEST(ResendBudgetTest, keepsSomeForStreamsThatBreakOffWhateverIsMoved)
{
    const Core::TimePoint now = Core::TimePoint() + 1h;
    ResendBudget budget({0.2, 50, 10'000ms}, 1, now - 1h);
    for (int request = 0; request < 1000; ++request) {
        budget.noteRequest("s", now);
    }
    const auto takeAll = [&](ResendPurpose purpose) {
        int taken = 0;
        while (budget.tryTake("s", purpose, now)) {
            ++taken;
        }
        return taken;
    };
    EXPECT_EQ(takeAll(ResendPurpose::Move), 40);
    EXPECT_GT(takeAll(ResendPurpose::Failure), 10);
    EXPECT_GT(takeAll(ResendPurpose::BegunStream), 5);
    EXPECT_EQ(takeAll(ResendPurpose::Move), 0);
}

// A bucket that was filled long ago bears no failures of a service that is hardly asked any more.
TEST(ResendBudgetTest, keepsNoMoreThanTheRequestsOfTheLastWindowBear)
{
    const Core::TimePoint start = Core::TimePoint() + 1h;
    ResendBudget budget({0.2, 0, 10s}, 1, start);
    for (int request = 0; request < 1000; ++request) {
        budget.noteRequest("s", start);
    }
    EXPECT_GT(budget.balance("s", ResendPurpose::BegunStream, start + 9s).left, 50);
    EXPECT_LT(budget.balance("s", ResendPurpose::BegunStream, start + 11s).left, 1);
}

TEST(ResendBudgetTest, earnsNothingByRequestsThatLayUnreadWhileTheProcessStoodStill)
{
    const Core::TimePoint start = Core::TimePoint() + 1h;
    ResendBudget budget({0.2, 0, 10s}, 1, start);
    budget.noteStandstill(start + 5s);
    for (int request = 0; request < 1000; ++request) {
        budget.noteRequest("s", start + 5s);
    }
    EXPECT_FALSE(budget.tryTake("s", ResendPurpose::BegunStream, start + 5s));
}

TEST(StandstillTest, tellsAFrozenProcessFromOneWithoutCallers)
{
    const Core::TimePoint start = Core::TimePoint() + 1h;
    Standstill standstill(start);
    EXPECT_FALSE(standstill.note(start + 100ms).has_value());
    EXPECT_FALSE(standstill.note(start + 250ms).has_value());
    EXPECT_EQ(standstill.note(start + 4s), 3750ms);
    EXPECT_FALSE(standstill.note(start + 4s + 100ms).has_value());
}

} // namespace

} // namespace Verbena::Decisions
