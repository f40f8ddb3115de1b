#include <decisions/relay/keptconnections.h>
#include <decisions/spread/randomsource.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

constexpr Core::TimePoint start{1h};
constexpr KeptConnectionUse repeatable{.isRepeatable = true, .hasId = true};

ServerInstance server(int number, std::uint64_t incarnation = 1)
{
    return {"s" + std::to_string(number), "10.0.0." + std::to_string(number) + ":80", incarnation};
}

// A server that names whole seconds counts them from its answer; a request must not cross its close.
TEST(KeptConnectionsTest, givesUpAConnectionBeforeItsServerDoes)
{
    EXPECT_LT(KeptConnections::usableUntil(5s, start), start + 5s);
    EXPECT_GT(KeptConnections::usableUntil(5s, start), start + 4s);
    EXPECT_LT(KeptConnections::usableUntil(std::nullopt, start), start + 1s);
    EXPECT_LE(KeptConnections::usableUntil(0s, start), start);
    EXPECT_LT(KeptConnections::usableUntil(std::chrono::seconds(UINT32_MAX), start), start + 1min);
}

TEST(KeptConnectionsTest, servesNoCallWhoseLossCouldNotBeMended)
{
    KeptConnections kept({});
    kept.keep(server(1), start + 5s);
    for (const KeptConnectionUse &use : {KeptConnectionUse{.hasId = true},
             KeptConnectionUse{.isRepeatable = true},
             KeptConnectionUse{.isRepeatable = true, .isBegun = true, .hasId = true},
             KeptConnectionUse{.isRepeatable = true, .hasId = true, .isHead = true},
             KeptConnectionUse{.isRepeatable = true, .hasId = true, .isSuspected = true}}) {
        EXPECT_EQ(kept.take(server(1), use, start), std::nullopt);
    }
    EXPECT_TRUE(kept.hasIdle(server(1).address, start));
    EXPECT_FALSE(kept.hasIdle(server(1).address, start + 5s));
    EXPECT_TRUE(kept.take(server(1), repeatable, start).has_value());
}

// Servers limit the connections of all routers together, and a router its descriptors.
TEST(KeptConnectionsTest, givesUpTheLeastRecentlyUsedFirst)
{
    KeptConnections kept({.perServer = 2, .total = 3});
    const auto first = kept.keep(server(1), start + 9s);
    const auto second = kept.keep(server(1), start + 9s);
    kept.keep(server(1), start + 9s);
    EXPECT_EQ(kept.removeExcess(server(1).address), std::vector{first});
    kept.keep(server(2), start + 9s);
    kept.keep(server(3), start + 9s);
    EXPECT_EQ(kept.removeExcess(server(3).address), std::vector{second});
}

// The calls of one router to 41 engines, 14 a second, each of half a second; an engine restarts at its address in between.
TEST(KeptConnectionsTest, servesMostCallsOfARouterOnKeptConnections)
{
    constexpr int engines = 41;
    constexpr int calls = 14 * 60;
    KeptConnections kept({});
    RandomSource random(7);
    std::map<Core::TimePoint, ServerInstance> running;
    Core::TimePoint now = start;
    int opened = 0;
    for (int call = 0; call < calls; ++call) {
        now += std::chrono::round<std::chrono::microseconds>(random.exponential() * 1s / 14);
        for (; !running.empty() && running.begin()->first <= now; running.erase(running.begin())) {
            kept.keep(running.begin()->second, KeptConnections::usableUntil(5s, running.begin()->first));
            kept.removeExcess(running.begin()->second.address);
        }
        const int number = static_cast<int>(random.next() % engines);
        const ServerInstance chosen = server(number, number == 0 && call > calls / 2 ? 2 : 1);
        opened += kept.take(chosen, repeatable, now).has_value() ? 0 : 1;
        running.emplace(now + 500ms, chosen);
        ASSERT_LE(kept.count(), KeptConnectionLimits().total);
    }
    EXPECT_LT(opened, calls / 2);
    EXPECT_FALSE(kept.removeUnless([](const ServerInstance &each) { return each.id != "s1"; }).empty());
}

struct Step
{
    int kind = 0;
    int number = 0;
    std::uint64_t incarnation = 0;
    int spanMilliseconds = 0;
    bool isRepeatable = false;
};

rc::Gen<Step> anyStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, 8)),
        rc::gen::set(&Step::number, rc::gen::inRange(0, 4)),
        rc::gen::set(&Step::incarnation, rc::gen::inRange<std::uint64_t>(1, 3)),
        rc::gen::set(&Step::spanMilliseconds, rc::gen::inRange(0, 900)),
        rc::gen::set(&Step::isRepeatable));
}

// Two calls on one connection at once would mix their answers; a call after the deadline may be lost.
RC_GTEST_PROP(KeptConnectionsTest, handsOutEachIdleConnectionOnceAndInTime, ())
{
    struct Idle
    {
        ServerInstance server;
        Core::TimePoint deadline;
    };
    constexpr KeptConnectionLimits limits{.perServer = 2, .total = 5};
    KeptConnections kept(limits);
    std::map<KeptConnections::Number, Idle> idle;
    Core::TimePoint now = start;
    const auto give = [&idle](const std::vector<KeptConnections::Number> &removed) {
        for (const auto number : removed) {
            RC_ASSERT(idle.erase(number) == 1U);
        }
    };
    for (const Step &step : *rc::gen::container<std::vector<Step>>(200, anyStep())) {
        const ServerInstance peer = server(step.number, step.incarnation);
        const auto span = std::chrono::milliseconds(step.spanMilliseconds);
        if (step.kind <= 2) {
            const auto number = kept.keep(peer, now + span);
            RC_ASSERT(idle.emplace(number, Idle{peer, now + span}).second);
            give(kept.removeExcess(peer.address));
        } else if (step.kind <= 4) {
            const auto taken = kept.take(peer, {.isRepeatable = step.isRepeatable, .hasId = true}, now);
            if (taken.has_value()) {
                RC_ASSERT(step.isRepeatable);
                RC_ASSERT(idle.at(*taken).server == peer);
                RC_ASSERT(now < idle.at(*taken).deadline);
                idle.erase(*taken);
            }
        } else if (step.kind == 5) {
            now += span / 3;
        } else if (step.kind == 6) {
            give(kept.removeExpired(now));
            RC_ASSERT(kept.nextDeadline().value_or(Core::TimePoint::max()) > now);
        } else {
            give(kept.removeAddress(peer.address));
            RC_ASSERT(!kept.hasIdle(peer.address, now));
        }
        RC_ASSERT(kept.count() == idle.size());
        RC_ASSERT(kept.count() <= limits.total);
    }
}

} // namespace

} // namespace Verbena::Decisions
