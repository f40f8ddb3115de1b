#include "../agent/agentharness.h"

#include <control/leasemanager.h>
#include <settingstree/rowcodec.h>
#include <store/httpplatform.h>

#include <gtest/gtest.h>

#include <csignal>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// An agent whose engine does not check fencing numbers; the test acquires leases like another process.
class PausedAgentTest : public testing::Test
{
protected:
    PausedAgentTest()
        : m_platform("verbena-standin", {"platform"})
        , m_platformUrl("http://" + m_platform.waitForLine("listening http "))
        , m_harness("engine", {"--model", "analyst@1", "--load-time-ms", "600000", "--ignore-fencing"}, "platform_url: " + m_platformUrl + "\n")
        , m_client(Store::HttpPlatform::create(*m_harness.loop, m_platformUrl).value())
    {
    }

    void commit(const std::string &key, const std::string &value)
    {
        bool isCommitted = false;
        m_client->commit({{key, value, std::nullopt}}, m_harness.loop->now() + 10s, [&isCommitted](const Store::CommitAnswer &answer) {
            isCommitted = answer.outcome == Store::CommitOutcome::Committed;
        });
        ASSERT_TRUE(m_harness.runUntil([&isCommitted] { return isCommitted; }));
    }

    void declareWeights(const std::string &version)
    {
        Settings::ModelSettings model;
        model.name = "analyst";
        model.weightsVersion = version;
        commit("settings/models/analyst", SettingsTree::encodeRow(model));
        Settings::BackendServerSettings server;
        server.name = "agent1";
        server.endpoint = m_harness.endpoint;
        server.models = {"analyst"};
        commit("settings/backend_servers/agent1", SettingsTree::encodeRow(server));
    }

    std::string permitTokens() const
    {
        const std::string keys = R"({"keys": ["permits/weights/1", "permits/weights/2", "permits/weights/3"]})";
        std::string tokens;
        const json answer = json::parse(sendHttp("POST", m_platformUrl + "/table/get", {}, keys).body);
        for (const json &row : answer.at("rows")) {
            tokens += Decisions::LeaseRecord::decode(row["value"]).value().token + ' ';
        }
        return tokens;
    }

    ChildProcess m_platform;
    std::string m_platformUrl;
    AgentHarness m_harness;
    std::unique_ptr<Store::HttpPlatform> m_client;
};

TEST_F(PausedAgentTest, sendsNothingWhenItResumesAfterItsLeaseEnded)
{
    // The load takes long, so the agent repeats its order until the engine shows the effect.
    declareWeights("2");
    ASSERT_TRUE(m_harness.runUntil([&] { return m_harness.status()["orders_sent"] == 1; }));
    m_harness.agent->sendSignal(SIGSTOP);
    const Decisions::LeaseOptions options{.retryInterval = 100ms, .maximumRetryInterval = 500ms};
    Control::LeaseManager other(*m_client, *m_harness.loop, Control::LeaseManager::namedLease(options, "engines/agent1", "other", 7), [] {});
    other.setWanted(true);
    ASSERT_TRUE(m_harness.runUntil([&] { return other.lease().isHeld(m_harness.loop->now()); }));
    // No other process uses the permit, so only a new tenure of the agent after it resumes can change the token.
    const std::string permitBefore = permitTokens();
    ASSERT_TRUE(permitBefore.starts_with("agent1."));
    m_harness.agent->sendSignal(SIGCONT);
    ASSERT_TRUE(m_harness.runUntil([&] { return permitTokens() != permitBefore; }));
    EXPECT_TRUE(other.lease().isHeld(m_harness.loop->now()));
    EXPECT_EQ(m_harness.status()["orders_sent"], 1);
    other.setWanted(false);
    EXPECT_TRUE(m_harness.runUntil([&] { return m_harness.status()["orders_sent"] > 1; }));
}

} // namespace

} // namespace Verbena::Test
