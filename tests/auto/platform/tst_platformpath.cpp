#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <csignal>

namespace Verbena::Test {

namespace {

using nlohmann::json;

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

TEST(PlatformPathTest, servesACallerThroughRealProcesses)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    const Http::MessageHead &head = deployment.engine().runs().back();
    EXPECT_EQ(*head.field("Verbenaladder-Tenant"), "dams");
    EXPECT_EQ(*head.field("Verbenaladder-Expect-Instance"), "i-1");
    EXPECT_EQ(*head.field("Verbenaladder-Expect-Version"), "1");
    EXPECT_EQ(head.field("Authorization"), nullptr);
    EXPECT_TRUE(contains(deployment.ask("wrong"), "HTTP/1.1 401"));
    EXPECT_TRUE(contains(deployment.ask("secret", "/none/"), "HTTP/1.1 404"));
}

// A router without an answer to SIGHUP ends by it; the platform sends one whenever the file of the host has changed.
TEST(PlatformPathTest, goesOnAfterSighup)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    deployment.router().sendSignal(SIGHUP);
    deployment.agent().sendSignal(SIGHUP);
    for (int number = 0; number < 3; ++number) {
        EXPECT_TRUE(contains(deployment.ask(), "answer of version 1"));
    }
}

// From the next request on, the router computed without end and answered nobody.
TEST(PlatformPathTest, entryThatNamesAModelTwiceStopsItsRouters)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    const json model{{"name", "m"}, {"version", 1}};
    json entry{{"service", "reader"}, {"zone", "hall"}, {"slots", 96}, {"phase", "ready"}, {"sequence", 2}};
    entry["address"] = deployment.engine().address();
    entry["models"] = json::array({model, model});
    deployment.store().put("servers", "i-1", entry);
    deployment.runFor(std::chrono::milliseconds(500));
    for (int number = 0; number < 3; ++number) {
        EXPECT_TRUE(contains(deployment.ask(), "answer of version 1"));
    }
    deployment.router().sendSignal(SIGTERM);
    EXPECT_EQ(deployment.router().waitForExit(), 0);
}

TEST(PlatformPathTest, takesNewConfigurationsAndNoOldOnes)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    json revoked = PlatformDeployment::configuration(9);
    revoked["tenants"][0]["apiKeys"] = {"other"};
    deployment.store().put("op", "config", revoked);
    EXPECT_TRUE(deployment.askUntil("HTTP/1.1 401"));
    deployment.store().put("op", "config", PlatformDeployment::configuration(8));
    for (int number = 0; number < 10; ++number) {
        EXPECT_TRUE(contains(deployment.ask(), "HTTP/1.1 401"));
    }
    EXPECT_TRUE(contains(deployment.ask("other"), "answer of version 1"));
}

TEST(PlatformPathTest, ordersNewWeightsOnceAndUsesThem)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    deployment.store().put("op", "version/m", {{"model", "m"}, {"version", 2}});
    ASSERT_TRUE(deployment.runUntil([&] { return deployment.engine().version() == 2; }));
    ASSERT_TRUE(deployment.askUntil("answer of version 2"));
    ASSERT_EQ(deployment.engine().orders().size(), 1U);
    const json &order = deployment.engine().orders().front();
    EXPECT_EQ(order.at("holder"), "side-1");
    EXPECT_GT(order.at("fencingToken").get<int>(), 0);
    EXPECT_EQ(order.at("switchMode"), "retain");
}

// One stream lasts longer than all others: the engine would stand idle for it, with nothing new until it ends.
TEST(PlatformPathTest, ordersNewWeightsAlthoughAStreamGoesOn)
{
    using namespace std::chrono_literals;
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    deployment.engine().setRunning(1);
    const Core::TimePoint namedAt = deployment.loop().now();
    deployment.store().put("op", "version/m", {{"model", "m"}, {"version", 2}});
    ASSERT_TRUE(deployment.runUntil([&] { return deployment.engine().version() == 2; }));
    EXPECT_LT(deployment.loop().now(), namedAt + 4s);
    EXPECT_EQ(deployment.engine().orders().front().at("switchMode"), "retain");
}

// Agents are many; as long as a router tells them which weights are named, they leave the store in peace.
TEST(PlatformPathTest, letsAgentsAskTheStoreOnlyWhileNoRouterTellsThem)
{
    using namespace std::chrono_literals;
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    std::size_t most = 0;
    const Core::TimePoint end = deployment.loop().now() + 4s;
    deployment.runUntil([&] {
        most = std::max(most, deployment.store().followerCount("op"));
        return deployment.loop().now() >= end;
    });
    EXPECT_EQ(most, 1U);
    deployment.router().sendSignal(SIGKILL);
    deployment.store().put("op", "version/m", {{"model", "m"}, {"version", 2}});
    EXPECT_TRUE(deployment.runUntil([&] { return deployment.engine().version() == 2; }));
}

// The loss of any number of hosts beside engines: without orders their engines would keep weights that nobody may use any more.
TEST(PlatformPathTest, ordersNewWeightsFromARouterWhereTheAgentIsGone)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    deployment.agent().sendSignal(SIGKILL);
    deployment.store().put("op", "version/m", {{"model", "m"}, {"version", 2}});
    ASSERT_TRUE(deployment.runUntil([&] { return deployment.engine().version() == 2; }));
    ASSERT_TRUE(deployment.askUntil("answer of version 2"));
    ASSERT_EQ(deployment.engine().orders().size(), 1U);
    EXPECT_EQ(deployment.engine().orders().front().at("holder"), "front-1");
    EXPECT_EQ(deployment.engine().orders().front().at("switchMode"), "block");
}

// The agent had the row from another host, as after a time without it. It waits for the hand-over once, and not again after each start.
TEST(PlatformPathTest, waitsForAHandOverOnceAlthoughTheAgentStartsAgain)
{
    using namespace std::chrono_literals;
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    deployment.store().putEncoded("verbena_orders", deployment.engine().address(), "cm91dGVyIGZyb250LTk="); // router front-9
    Core::TimePoint namedAt = deployment.loop().now();
    deployment.store().put("op", "version/m", {{"model", "m"}, {"version", 2}});
    ASSERT_TRUE(deployment.runUntil([&] { return deployment.engine().version() == 2; }));
    EXPECT_GE(deployment.loop().now(), namedAt + 4300ms);
    const std::string lines = deployment.agent().takeOutput();
    const std::size_t told = lines.find("\"order_waits\"");
    ASSERT_NE(told, std::string::npos);
    EXPECT_EQ(lines.find("\"order_waits\"", told + 1), std::string::npos);
    EXPECT_TRUE(contains(lines.substr(told), "\"after\":\"front-9\""));
    deployment.restartAgent();
    namedAt = deployment.loop().now();
    deployment.store().put("op", "version/m", {{"model", "m"}, {"version", 3}});
    ASSERT_TRUE(deployment.runUntil([&] { return deployment.engine().version() == 3; }));
    EXPECT_LT(deployment.loop().now(), namedAt + 4300ms);
    EXPECT_EQ(deployment.engine().orders().back().at("holder"), "side-1");
}

// Versions that are named before the turn of the one before has come: the engine keeps that turn, so that it loads at all.
TEST(PlatformPathTest, loadsWeightsAlthoughNewerOnesAreNamedBeforeEachTurn)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    constexpr int lastVersion = 60;
    int version = 2;
    const auto isOrdered = [&] {
        return !deployment.engine().orders().empty();
    };
    for (; version <= lastVersion && !isOrdered(); ++version) {
        deployment.store().put("op", "version/m", {{"model", "m"}, {"version", version}});
        const Core::TimePoint next = deployment.loop().now() + std::chrono::milliseconds(300);
        deployment.runUntil([&] { return deployment.loop().now() >= next; });
    }
    EXPECT_TRUE(isOrdered());
    EXPECT_LT(version, lastVersion);
}

TEST(PlatformPathTest, servesOnWhileTheStoreIsAway)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    for (const StoreStandin::Mode mode : {StoreStandin::Mode::Busy, StoreStandin::Mode::Silent, StoreStandin::Mode::Lossy}) {
        deployment.store().setMode(mode);
        for (int number = 0; number < 20; ++number) {
            EXPECT_TRUE(contains(deployment.ask(), "answer of version 1"));
        }
    }
    deployment.store().setMode(StoreStandin::Mode::Well);
    json changed = PlatformDeployment::configuration(10);
    changed["routes"][0]["prefix"] = "/other/";
    deployment.store().put("op", "config", changed);
    EXPECT_TRUE(deployment.askUntil("answer of version 1", "secret", "/other/2f"));
}

TEST(PlatformPathTest, readsTheTablesAgainWhenTheStoreForgetsItsHistory)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    deployment.store().setMode(StoreStandin::Mode::Silent);
    json changed = PlatformDeployment::configuration(11);
    changed["routes"][0]["prefix"] = "/other/";
    deployment.store().put("op", "config", changed);
    deployment.store().compact();
    deployment.store().setMode(StoreStandin::Mode::Well);
    EXPECT_TRUE(deployment.askUntil("answer of version 1", "secret", "/other/2f"));
}

TEST(PlatformPathTest, servesAtOnceAfterItWasKilled)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    deployment.router().sendSignal(SIGKILL);
    deployment.restartRouter();
    EXPECT_TRUE(deployment.askUntil("answer of version 1"));
}

TEST(PlatformPathTest, endsInGoodOrderOnSigterm)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    deployment.router().sendSignal(SIGTERM);
    deployment.agent().sendSignal(SIGTERM);
    EXPECT_EQ(deployment.router().waitForExit(), 0);
    EXPECT_EQ(deployment.agent().waitForExit(), 0);
}

// Nobody reads the standard output of these processes: a log that waited for its reader would stop them once the pipe is full.
TEST(PlatformPathTest, isNotHeldUpByALogThatNobodyReads)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    constexpr int requests = 400;
    for (int number = 0; number < requests; ++number) {
        const std::string answer = deployment.ask();
        ASSERT_TRUE(contains(answer, "answer of version 1")) << number << ": " << answer;
    }
}

} // namespace

} // namespace Verbena::Test
