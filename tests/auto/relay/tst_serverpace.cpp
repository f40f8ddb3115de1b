#include <decisions/relay/plainchoice.h>
#include <decisions/relay/relayfleet.h>
#include <decisions/relay/serverpace.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr Core::TimePoint start{1h};

class ServerPaceTest : public testing::Test
{
protected:
    ServerPaceTest()
    {
        for (std::size_t server = 0; server < speeds.size(); ++server) {
            m_pace.updateServer(BackendServerId(server), "s", 7);
        }
    }

    // Each server answers five times a second, while its pace changes at every other answer.
    void replay(int rounds, bool isNamed)
    {
        for (int round = 0; round < rounds; ++round) {
            m_now += 200ms;
            for (std::size_t server = 0; server < speeds.size(); ++server) {
                const double pace = (static_cast<std::size_t>(round) / 2 + server) % 4 == 0 ? 2.5 : 1;
                if (isNamed) {
                    m_pace.recordPace(BackendServerId(server), pace, m_now);
                }
                m_pace.recordWork(BackendServerId(server), duration_cast<microseconds>(40ms * speeds[server] * pace), 30ms, m_now);
            }
        }
    }

    double slowness(std::size_t server, Core::TimePoint now) const
    {
        return m_pace.slowness(BackendServerId(server), now);
    }

    static constexpr std::array<double, 5> speeds{0.6, 1, 1, 1, 1.6};
    ServerPace m_pace;
    Core::TimePoint m_now = start;
};

// A deployment whose servers name no pace must be served as before.
TEST_F(ServerPaceTest, isOneWhereNoServerNamesAPace)
{
    replay(50, false);
    for (std::size_t server = 0; server < speeds.size(); ++server) {
        EXPECT_EQ(slowness(server, m_now), 1);
    }
}

// A short slowdown must not be taken for the server's own speed.
TEST_F(ServerPaceTest, separatesTheSpeedOfAServerFromItsPaceAtTheMoment)
{
    replay(50, true);
    for (std::size_t server = 0; server < speeds.size(); ++server) {
        m_pace.recordPace(BackendServerId(server), 1, m_now);
        EXPECT_NEAR(slowness(server, m_now), speeds[server], 0.05) << server;
        m_pace.recordPace(BackendServerId(server), 2, m_now);
        EXPECT_NEAR(slowness(server, m_now), 2 * speeds[server], 0.1) << server;
        EXPECT_NEAR(slowness(server, m_now + 600ms), speeds[server], 0.1) << server;
    }
}

// A single lost packet must not keep requests away from a server.
TEST_F(ServerPaceTest, isNotMovedByOneOutlier)
{
    replay(51, true);
    m_pace.recordPace(BackendServerId(1), 1, m_now);
    m_pace.recordWork(BackendServerId(1), 3s, 30ms, m_now + 200ms);
    EXPECT_NEAR(slowness(1, m_now + 800ms), 1, 0.1);
}

// A slow server that gets nothing must not be written off.
TEST_F(ServerPaceTest, forgetsWithTimeAndIncarnation)
{
    replay(50, true);
    EXPECT_FALSE(m_pace.isDueForMeasurement(BackendServerId(4), m_now + 1s));
    EXPECT_TRUE(m_pace.isDueForMeasurement(BackendServerId(4), m_now + 3s));
    EXPECT_EQ(slowness(4, m_now + 11s), 1);
    EXPECT_GT(slowness(4, m_now + 1s), 1.4);
    m_pace.updateServer(BackendServerId(4), "s", 8);
    EXPECT_EQ(slowness(4, m_now + 1s), 1);
}

// Whatever servers name, a choice between them must stay possible.
TEST(ServerPace, isBounded)
{
    EXPECT_TRUE(rc::check([] {
        ServerPace pace;
        Core::TimePoint now = start;
        pace.updateServer(BackendServerId(1), "", 0);
        pace.updateServer(BackendServerId(2), "", 0);
        for (const auto &[named, elapsed] : *rc::gen::arbitrary<std::vector<std::pair<std::uint32_t, std::int32_t>>>()) {
            now += microseconds(named % 5'000'000);
            pace.recordPace(BackendServerId(named % 3), (named + 1.0) / 100, now);
            pace.recordWork(BackendServerId(elapsed % 3), microseconds(elapsed), microseconds(named), now);
            const double slowness = pace.slowness(BackendServerId(1), now + microseconds(named));
            RC_ASSERT(slowness >= 0.25 && slowness <= 4);
        }
    }));
}

RoutingOptions options()
{
    RoutingOptions routing;
    routing.isProbing = false;
    routing.seed = 7;
    return routing;
}

// One router and three servers of different speed, each with six slots, one of which slows down halfway without saying so.
class PlainFleet
{
public:
    explicit PlainFleet(bool isPaceNamed)
        : m_isPaceNamed(isPaceNamed)
    {
        for (const auto &[id, server] : m_servers) {
            m_fleet.servers().set({id, "ledger", id + ":80", "hall", 6, false, {}});
        }
    }

    FleetChoice send()
    {
        FleetQuery query;
        query.service = "ledger";
        query.randomValue = ++m_queryCount * 7919;
        FleetChoice choice = *m_fleet.choose(query, m_now);
        m_fleet.recordSent(choice, m_now);
        return choice;
    }

    void answer(const FleetChoice &choice, std::uint32_t running, std::uint32_t waiting)
    {
        m_fleet.recordLoad(choice, {running, waiting, 6, m_isPaceNamed ? std::optional(1.0) : std::nullopt}, m_now);
        m_fleet.recordWork(choice, m_now);
        m_fleet.recordAnswered(choice, m_now);
    }

    void answerWithoutLoad(const FleetChoice &choice)
    {
        m_fleet.recordAnswered(choice, m_now);
    }

    // Returns the mean time to an answer.
    microseconds replay(int calls, std::chrono::milliseconds interval)
    {
        microseconds sum{0};
        for (int call = 0; call < calls; ++call) {
            answerUntil(start + call * interval);
            const FleetChoice choice = send();
            Server &server = m_servers.at(choice.serverId);
            const bool isSlowed = choice.serverId == "fast" && call > calls / 2;
            const auto begin = std::max(m_now, *std::min_element(server.slots.begin(), server.slots.end()));
            const auto end = begin + duration_cast<microseconds>(30ms * server.speed * (isSlowed ? 5 : 1));
            *std::min_element(server.slots.begin(), server.slots.end()) = end;
            m_calls.emplace(end, choice);
            sum += duration_cast<microseconds>(end - m_now);
            ++server.calls;
        }
        return sum / calls;
    }

    std::uint32_t calls(const std::string &id) const
    {
        return m_servers.at(id).calls;
    }

private:
    struct Server
    {
        double speed = 1;
        std::array<Core::TimePoint, 6> slots{};
        std::uint32_t calls = 0;
    };

    void answerUntil(Core::TimePoint until)
    {
        while (!m_calls.empty() && m_calls.begin()->first <= until) {
            m_now = m_calls.begin()->first;
            const FleetChoice choice = m_calls.begin()->second;
            m_calls.erase(m_calls.begin());
            const auto isSame = [&](const auto &call) {
                return call.second.serverId == choice.serverId;
            };
            const auto present = static_cast<std::uint32_t>(std::count_if(m_calls.begin(), m_calls.end(), isSame));
            answer(choice, std::min(6U, present), present - std::min(6U, present));
        }
        m_now = until;
    }

    RelayFleet m_fleet{options(), {}};
    Core::TimePoint m_now = start;
    bool m_isPaceNamed;
    std::map<std::string, Server> m_servers{{"fast", {0.6, {}, 0}}, {"usual", {1, {}, 0}}, {"slow", {1.6, {}, 0}}};
    std::multimap<Core::TimePoint, FleetChoice> m_calls; ///< By the time of their answer.
    std::uint64_t m_queryCount = 0;
};

// The least loaded server was chosen, whether fast or slow.
TEST(PlainChoiceTest, endsCallsSoonerWhereServersDifferAndChange)
{
    PlainFleet named(true);
    PlainFleet unnamed(false);
    const microseconds withPace = named.replay(2000, 10ms);
    const microseconds without = unnamed.replay(2000, 10ms);
    RecordProperty("mean_us_with_pace", std::to_string(withPace.count()));
    RecordProperty("mean_us_without", std::to_string(without.count()));
    EXPECT_LT(withPace, without * 0.9);
    // The slow ones are measured again now and then.
    EXPECT_GT(named.calls("slow"), 20U);
}

// While all servers were full, nothing was learned, and calls went to one that had slowed down.
TEST(PlainChoiceTest, learnsOfASlowServerUnderOverload)
{
    PlainFleet named(true);
    PlainFleet unnamed(false);
    EXPECT_LT(named.replay(2000, 2ms), unnamed.replay(2000, 2ms));
}

// A full server sheds calls while another has free slots.
TEST(PlainChoiceTest, avoidsServersThatReportThemselvesFull)
{
    PlainFleet fleet(true);
    std::map<std::string, FleetChoice> choices;
    while (choices.size() < 3) {
        const FleetChoice choice = fleet.send();
        choices[choice.serverId] = choice;
        fleet.answer(choice, 0, 0);
    }
    fleet.answer(choices.at("fast"), 6, 2);
    fleet.answer(choices.at("slow"), 6, 0);
    for (int call = 0; call < 5; ++call) {
        EXPECT_EQ(fleet.send().serverId, "usual");
    }
    // With all full, the one where a call begins first.
    fleet.answer(choices.at("usual"), 6, 24);
    EXPECT_EQ(fleet.send().serverId, "slow");
}

// Servers that report a load but no pace were served as those that report none.
TEST(PlainChoiceTest, ignoresLoadsWhereNoPaceIsNamed)
{
    PlainFleet silent(false);
    PlainFleet reporting(false);
    for (int call = 0; call < 200; ++call) {
        const FleetChoice expected = silent.send();
        const FleetChoice choice = reporting.send();
        ASSERT_EQ(choice.serverId, expected.serverId);
        EXPECT_EQ(choice.slowness, std::nullopt);
        reporting.answer(choice, 6, static_cast<std::uint32_t>(call % 7));
        silent.answerWithoutLoad(expected);
    }
}

// The home of a short prompt got it however slow it was.
TEST(EngineChoiceTest, weighsTheSlownessOfAnEngine)
{
    RelayFleet fleet(options(), {});
    for (const char *id : {"1", "2", "3", "4"}) {
        fleet.servers().set({id, "reader", std::string(id) + ":80", "hall", 96, false, {{"m", 1}}});
        EngineStatus status;
        status.weights = {{"m", 1}};
        status.totalTokens = 100'000;
        status.waiting = 4;
        fleet.updateStatus(std::string(id) + ":80", status, start);
    }
    const PromptOutline outline{"m", {{"rules", 200}, {"own", 2900}}, 3100, 60};
    FleetQuery query;
    query.service = "reader";
    query.prompt = &outline;
    const std::optional<FleetChoice> home = fleet.choose(query, start);
    ASSERT_TRUE(home.has_value());
    fleet.recordLoad(*home, {1, 0, 96, std::nullopt}, start);
    EXPECT_EQ(fleet.choose(query, start)->serverId, home->serverId);
    fleet.recordLoad(*home, {1, 0, 96, 2.5}, start);
    const std::optional<FleetChoice> other = fleet.choose(query, start + 10ms);
    EXPECT_NE(other->serverId, home->serverId);
    EXPECT_EQ(other->slowness, 1);
    EXPECT_EQ(fleet.choose(query, start + 600ms)->serverId, home->serverId);
}

} // namespace

} // namespace Verbena::Decisions
