#include "agentharness.h"

#include <settingstree/rowcodec.h>
#include <store/httpplatform.h>

#include <gtest/gtest.h>

namespace Verbena::Test {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds commitTimeout{10};

/// An agent with its engine, beside a platform that a test writes to.
class AgentControlTest : public testing::Test
{
protected:
    AgentControlTest()
        : m_platform("verbena-standin", {"platform"})
        , m_platformUrl("http://" + m_platform.waitForLine("listening http "))
    {
    }

    void start(const std::vector<std::string> &engineArguments)
    {
        m_harness = std::make_unique<AgentHarness>("engine", engineArguments, "platform_url: " + m_platformUrl + "\n");
        m_client = std::move(Store::HttpPlatform::create(*m_harness->loop, m_platformUrl).value());
    }

    void commit(const std::string &key, const SettingsTree::RowContent &content)
    {
        bool isCommitted = false;
        m_client->commit({{key, SettingsTree::encodeRow(content), std::nullopt}},
            m_harness->loop->now() + commitTimeout,
            [&isCommitted](const Store::CommitAnswer &answer) { isCommitted = answer.outcome == Store::CommitOutcome::Committed; });
        ASSERT_TRUE(m_harness->runUntil([&isCommitted] { return isCommitted; }));
    }

    void declare(const std::string &weightsVersion, bool isDrained = false)
    {
        Settings::ModelSettings model;
        model.name = "analyst";
        model.weightsVersion = weightsVersion;
        commit("settings/models/analyst", model);
        Settings::BackendServerSettings server;
        server.name = "agent1";
        server.endpoint = m_harness->endpoint;
        server.models = {"analyst"};
        server.isDrained = isDrained;
        commit("settings/backend_servers/agent1", server);
    }

    json load() const
    {
        return json::parse(sendHttp("GET", m_harness->backendUrl() + "/load", {}, {}).body);
    }

    bool runUntilHeld(const std::string &weightsVersion)
    {
        return m_harness->runUntil([&] {
            const json models = load()["models"];
            return models.size() == 1 && models[0]["version"] == weightsVersion;
        });
    }

    ChildProcess m_platform;
    std::string m_platformUrl;
    std::unique_ptr<AgentHarness> m_harness;
    std::unique_ptr<Store::HttpPlatform> m_client;
};

TEST_F(AgentControlTest, ordersTheWeightsThatAreDeclaredAndServesThoseAlone)
{
    start({"--model", "analyst@1", "--load-time-ms", "50"});
    declare("2");
    ASSERT_TRUE(runUntilHeld("2"));
    EXPECT_EQ(m_harness->status()["orders_sent"], 1) << "the old weights were not unloaded before the new ones were there";
    const auto router = m_harness->connect();
    ASSERT_TRUE(router);
    ASSERT_TRUE(m_harness->runUntil([&] {
        router->sendHello();
        return router->welcome->models_size() == 1 && router->welcome->models(0).weights_version() == "2";
    }));
    verbena::wire::Dispatch dispatch = completion("old", "a", 3);
    dispatch.set_weights_version("1");
    router->dispatch(dispatch);
    dispatch = completion("new", "a", 3);
    dispatch.set_weights_version("2");
    router->dispatch(dispatch);
    ASSERT_TRUE(m_harness->runUntil([&] { return router->attempt("old").isOver() && router->attempt("new").isOver(); }));
    EXPECT_EQ(router->attempt("old").refused->reason(), verbena::wire::REFUSAL_REASON_NOT_SERVED);
    EXPECT_EQ(router->attempt("new").ended->kind(), verbena::wire::END_KIND_COMPLETE);
}

TEST_F(AgentControlTest, isFencedOffByAnEngineThatChecks)
{
    start({"--model", "analyst@1", "--load-time-ms", "50"});
    sendHttp("POST", m_harness->backendUrl() + "/orders", {}, R"({"order": "role", "role": "both", "fencing": 1000000})");
    declare("2");
    ASSERT_TRUE(m_harness->runUntil([&] { return m_harness->status()["orders_fenced"] >= 1; }));
    EXPECT_EQ(load()["models"][0]["version"], "1");
}

TEST_F(AgentControlTest, ordersAnEngineThatIgnoresTheFencingNumber)
{
    start({"--model", "analyst@1", "--load-time-ms", "50", "--ignore-fencing"});
    sendHttp("POST", m_harness->backendUrl() + "/orders", {}, R"({"order": "role", "role": "both", "fencing": 1000000})");
    declare("2");
    EXPECT_TRUE(runUntilHeld("2"));
}

TEST_F(AgentControlTest, givesNoOrderWhileThePlatformIsOut)
{
    start({"--model", "analyst@1", "--load-time-ms", "50"});
    declare("1");
    ASSERT_TRUE(m_harness->runUntil([&] { return m_harness->status()["settings"]["revision"] > 0; }));
    sendHttp("POST", m_platformUrl + "/control", {}, R"({"outage": "refusing"})");
    const auto router = m_harness->connect();
    ASSERT_TRUE(router);
    verbena::wire::Dispatch dispatch = completion("r1", "a", 3);
    dispatch.set_weights_version("1");
    router->dispatch(dispatch);
    ASSERT_TRUE(m_harness->runUntil([&] { return router->attempt("r1").isOver(); }));
    EXPECT_EQ(router->attempt("r1").ended->kind(), verbena::wire::END_KIND_COMPLETE);
    EXPECT_EQ(m_harness->status()["orders_sent"], 0);
}

TEST_F(AgentControlTest, takesNoNewWorkOnceDrainedOrListedAsLeaving)
{
    start({});
    declare("1", true);
    EXPECT_TRUE(m_harness->runUntil([&] { return m_harness->status()["leaving"] == true; }));
    declare("1", false);
    EXPECT_TRUE(m_harness->runUntil([&] { return m_harness->status()["leaving"] == false; }));
    sendHttp("POST",
        m_platformUrl + "/control",
        {},
        R"({"hosts": [{"name": "agent1", "address": "127.0.0.1", "failure_domain": "a", "incarnation": 1, "leaving": true}]})");
    EXPECT_TRUE(m_harness->runUntil([&] { return m_harness->status()["leaving"] == true; }));
}

} // namespace

} // namespace Verbena::Test
