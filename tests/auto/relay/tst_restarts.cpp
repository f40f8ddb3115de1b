#include <decisions/relay/relayfleet.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <limits>
#include <set>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;
constexpr std::uint64_t firstIncarnation = 1'700'000'000'000;
// The system clock was set back before the engine restarted.
constexpr std::uint64_t secondIncarnation = firstIncarnation - 5'000;

constexpr std::uint64_t oddVersion = std::uint64_t(1) << 60;

RegisteredServer engine(const std::string &id, std::uint64_t incarnation, std::uint64_t version = 1)
{
    RegisteredServer server{id, "reader", "10.0.0." + id + ":8000", "hall", 96, false, {{"m", version}}};
    server.incarnation = incarnation;
    return server;
}

std::uint64_t versionIn(const ServerRegister &servers)
{
    return servers.servers().at("1").weights.front().version;
}

EngineStatus status(std::uint64_t incarnation, std::uint64_t version = 1)
{
    EngineStatus report;
    report.incarnation = incarnation;
    report.weights = {{"m", version}};
    report.totalTokens = 100'000;
    return report;
}

TEST(ServerRegisterRestartTest, usesTheWeightsOfTheNewIncarnation)
{
    ServerRegister servers;
    servers.set(engine("1", firstIncarnation, 1));
    servers.updateWeights("1", "m", 3);
    RegisteredServer leaving = engine("1", firstIncarnation, 3);
    leaving.isLeaving = true;
    servers.set(leaving);
    servers.set(engine("1", secondIncarnation, 2));
    EXPECT_EQ(servers.servers().at("1").weights.front().version, 2U);
    EXPECT_FALSE(servers.servers().at("1").isLeaving);
}

// One odd version in an entry, a report or an answer was believed until the server started anew.
TEST(ServerRegisterWeightsTest, oddVersionOutlivesTheNewsThatMendIt)
{
    for (const WeightsSource source : {WeightsSource::Entry, WeightsSource::Report, WeightsSource::Answer}) {
        ServerRegister servers;
        servers.set(engine("1", firstIncarnation, 3));
        if (source == WeightsSource::Entry) {
            servers.set(engine("1", firstIncarnation, oddVersion));
        } else {
            servers.updateWeights("1", "m", oddVersion, {source, 0});
        }
        EXPECT_EQ(versionIn(servers), oddVersion);
        const std::uint64_t sentAfter = servers.lastWeightsNews();
        servers.updateWeights("1", "m", 3, {WeightsSource::Answer, sentAfter - 1});
        EXPECT_EQ(versionIn(servers), oddVersion);
        ServerRegister mendedByAnswer = servers;
        mendedByAnswer.updateWeights("1", "m", 3, {WeightsSource::Answer, sentAfter});
        EXPECT_EQ(versionIn(mendedByAnswer), 3U);
        servers.set(engine("1", firstIncarnation, 4));
        EXPECT_EQ(versionIn(servers), source == WeightsSource::Entry ? 4U : oddVersion);
        servers.updateWeights("1", "m", 4, {WeightsSource::Report, 0});
        EXPECT_EQ(versionIn(servers), source == WeightsSource::Entry ? 4U : oddVersion);
        servers.updateWeights("1", "m", 4, {WeightsSource::Report, 0});
        EXPECT_EQ(versionIn(servers), source == WeightsSource::Answer ? oddVersion : 4U);
    }
}

// A link that reorders delivered an older report after a newer one.
TEST(ServerRegisterWeightsTest, reportThatWasOvertakenLowersTheVersion)
{
    ServerRegister servers;
    servers.set(engine("1", firstIncarnation, 2));
    for (const std::uint64_t version : {3U, 2U, 3U, 2U, 3U}) {
        servers.updateWeights("1", "m", version, {WeightsSource::Report, 0});
        EXPECT_EQ(versionIn(servers), 3U);
    }
}

// The entry is written now and then, and a report lags behind: neither proves that the server went back.
TEST(ServerRegisterWeightsTest, keepsAnAnswerOverOlderNews)
{
    ServerRegister servers;
    servers.set(engine("1", firstIncarnation, 2));
    servers.updateWeights("1", "m", 3);
    RegisteredServer entry = engine("1", firstIncarnation, 2);
    entry.slots = 7;
    servers.set(entry);
    servers.updateWeights("1", "m", 2, {WeightsSource::Report, 0});
    servers.updateWeights("1", "m", 2);
    EXPECT_EQ(versionIn(servers), 3U);
    EXPECT_EQ(servers.servers().at("1").slots, 7U);
}

TEST(ServerRegisterRestartTest, ignoresALateEntryOfAnEarlierIncarnation)
{
    ServerRegister servers;
    servers.set(engine("1", firstIncarnation, 1));
    EXPECT_EQ(servers.updateIncarnation("1", secondIncarnation), IncarnationComparison::Restarted);
    const std::uint64_t revision = servers.revision();
    RegisteredServer late = engine("1", firstIncarnation, 1);
    late.isLeaving = true;
    servers.set(late);
    EXPECT_EQ(servers.servers().at("1").incarnation, secondIncarnation);
    EXPECT_FALSE(servers.servers().at("1").isLeaving);
    EXPECT_EQ(servers.revision(), revision);
    EXPECT_EQ(servers.updateIncarnation("1", firstIncarnation), IncarnationComparison::Outdated);
}

// A message without an incarnation is accepted, and does not contradict the recorded one.
TEST(ServerRegisterRestartTest, assumesNoRestartWithoutAnIncarnation)
{
    ServerRegister servers;
    servers.set(engine("1", 0, 1));
    EXPECT_EQ(servers.updateIncarnation("1", firstIncarnation), IncarnationComparison::Same);
    servers.set(engine("1", 0, 2));
    EXPECT_EQ(servers.servers().at("1").incarnation, firstIncarnation);
    EXPECT_EQ(servers.servers().at("1").weights.front().version, 2U);
}

// In whatever order messages of several incarnations arrive, the one that was new last remains.
TEST(ServerRegisterRestartTest, neverReturnsToAnEarlierIncarnation)
{
    EXPECT_TRUE(rc::check([] {
        ServerRegister servers;
        servers.set(engine("1", 100));
        std::set<std::uint64_t> seen{100};
        const auto incarnations = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(98, 104));
        std::uint64_t current = 100;
        for (const std::uint64_t incarnation : incarnations) {
            current = seen.insert(incarnation).second ? incarnation : current;
            if (incarnation % 2 == 0) {
                servers.set(engine("1", incarnation));
            } else {
                servers.updateIncarnation("1", incarnation);
            }
            RC_ASSERT(servers.servers().at("1").incarnation == current);
        }
    }));
}

class FleetRestartTest : public testing::Test
{
protected:
    FleetRestartTest()
        : m_fleet(routing(), {})
    {
        m_fleet.servers().set(engine("1", firstIncarnation));
        m_fleet.servers().set(engine("2", firstIncarnation));
        EngineStatus warm = status(firstIncarnation);
        warm.parts = {partKey("m@1", "wall")};
        m_fleet.updateStatus("10.0.0.1:8000", warm, m_now);
        EngineStatus cold = status(firstIncarnation);
        cold.parts.emplace();
        m_fleet.updateStatus("10.0.0.2:8000", cold, m_now);
    }

    static RoutingOptions routing()
    {
        RoutingOptions options;
        options.isProbing = false;
        options.isPlacedByWholePrompt = true;
        return options;
    }

    FleetChoice choose(const std::vector<std::string> &excluded)
    {
        FleetQuery query;
        query.service = "reader";
        query.route = "r";
        query.prompt = &m_prompt;
        query.excluded = excluded;
        return m_fleet.choose(query, m_now).value();
    }

    FleetChoice chooseFirst()
    {
        return choose({"2"});
    }

    PromptOutline m_prompt{"m", {{"wall", 6000}, {"own", 200}}, 6200, 10};
    RelayFleet m_fleet;
    Core::TimePoint m_now = start;
};

// Crashed engines come back under their ids within a second. If their old cache content still counted, prompts would be sent where nothing of them is left,
// and not where they are still cached.
TEST_F(FleetRestartTest, discardsTheCacheOfAnEarlierIncarnation)
{
    EXPECT_EQ(chooseFirst().warmParts, 1U);
    m_fleet.servers().set(engine("1", secondIncarnation));
    EXPECT_EQ(chooseFirst().warmParts, 0U);
    EngineStatus unchanged = status(secondIncarnation);
    m_fleet.updateStatus("10.0.0.1:8000", unchanged, m_now);
    EXPECT_EQ(chooseFirst().warmParts, 0U);
}

TEST_F(FleetRestartTest, detectsARestartByTheAgentBeforeTheEntryChanges)
{
    m_fleet.updateStatus("10.0.0.1:8000", status(secondIncarnation, 2), m_now);
    EXPECT_EQ(m_fleet.servers().servers().at("1").incarnation, secondIncarnation);
    EXPECT_EQ(m_fleet.servers().servers().at("1").weights.front().version, 2U);
    m_fleet.servers().set(engine("1", firstIncarnation, 1));
    EXPECT_EQ(m_fleet.servers().servers().at("1").incarnation, secondIncarnation);
}

TEST_F(FleetRestartTest, ignoresReportsOfAnEarlierIncarnation)
{
    m_fleet.servers().set(engine("1", secondIncarnation));
    EngineStatus late = status(firstIncarnation, 4);
    late.parts = {partKey("m@1", "wall")};
    m_fleet.updateStatus("10.0.0.1:8000", late, m_now);
    EXPECT_EQ(m_fleet.servers().servers().at("1").weights.front().version, 1U);
    EXPECT_EQ(chooseFirst().warmParts, 0U);
}

// One report that named an odd incarnation took all later ones of its engine for late.
TEST_F(FleetRestartTest, oddIncarnationOutlivesItsReport)
{
    for (const std::uint64_t odd : {std::uint64_t(1), std::numeric_limits<std::uint64_t>::max()}) {
        m_fleet.updateStatus("10.0.0.1:8000", status(odd), m_now);
        for (const auto end = m_now + 2s; m_now < end; m_now += 250ms) {
            m_fleet.updateStatus("10.0.0.1:8000", status(firstIncarnation, 4), m_now);
        }
        EXPECT_EQ(m_fleet.servers().servers().at("1").incarnation, firstIncarnation);
        EXPECT_EQ(m_fleet.servers().servers().at("1").weights.front().version, 4U);
    }
}

// An agent repeats what the engine said last while the new one does not answer it yet; single reports may be late.
TEST_F(FleetRestartTest, believesLateReportsOfAnEarlierIncarnation)
{
    m_fleet.servers().set(engine("1", secondIncarnation));
    EngineStatus silent = status(firstIncarnation);
    silent.isSilent = true;
    for (const auto end = m_now + 5s; m_now < end; m_now += 250ms) {
        m_fleet.updateStatus("10.0.0.1:8000", silent, m_now);
    }
    for (int count = 0; count < 8; ++count, m_now += 250ms) {
        m_fleet.updateStatus("10.0.0.1:8000", status(firstIncarnation), m_now);
        m_fleet.updateStatus("10.0.0.1:8000", status(secondIncarnation), m_now);
    }
    for (int count = 0; count < 4; ++count, m_now += 10s) {
        m_fleet.updateStatus("10.0.0.1:8000", status(firstIncarnation), m_now);
    }
    EXPECT_EQ(m_fleet.servers().servers().at("1").incarnation, secondIncarnation);
}

// A connection that breaks with the old incarnation is no evidence against the new one.
TEST_F(FleetRestartTest, ignoresFailuresOfAnEarlierIncarnation)
{
    FleetChoice choice = chooseFirst();
    m_fleet.recordSent(choice, m_now);
    m_fleet.servers().set(engine("1", secondIncarnation));
    m_fleet.recordFailure(choice, ServerFailure::Unreachable, m_now);
    EXPECT_EQ(chooseFirst().serverId, "1");
    m_fleet.markReplaced(choice);
    EXPECT_TRUE(m_fleet.servers().servers().contains("1"));
    m_fleet.updateWeights(choice, "m", 9);
    EXPECT_EQ(m_fleet.servers().servers().at("1").weights.front().version, 1U);
}

TEST_F(FleetRestartTest, discardsWhatWasSentToTheEarlierIncarnation)
{
    FleetChoice choice = choose({"1"});
    m_fleet.recordSent(choice, m_now);
    EXPECT_EQ(choose({"1"}).warmParts, 1U);
    m_fleet.servers().set(engine("2", secondIncarnation));
    EngineStatus cold = status(secondIncarnation);
    cold.parts.emplace();
    m_fleet.updateStatus("10.0.0.2:8000", cold, m_now);
    EXPECT_EQ(choose({"1"}).warmParts, 0U);
    EXPECT_EQ(choose({"1"}).waiting, 0U);
}

// An entry of another program that names the address of an engine must not get the reports on that engine.
TEST_F(FleetRestartTest, assignsReportsToTheEntryOfThatIncarnation)
{
    RegisteredServer foreign = engine("9", 77);
    foreign.address = "10.0.0.1:8000";
    m_fleet.servers().set(foreign);
    m_fleet.updateStatus("10.0.0.1:8000", status(firstIncarnation, 5), m_now);
    EXPECT_EQ(m_fleet.servers().servers().at("1").weights.front().version, 5U);
    EXPECT_EQ(m_fleet.servers().servers().at("9").weights.front().version, 1U);
}

} // namespace

} // namespace Verbena::Decisions
