#include <operator/operatoridentity.h>
#include <support/childprocess.h>
#include <support/temporaryfolder.h>
#include <support/testhttp.h>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>

namespace Verbena::Operator {

namespace {

using Verbena::Test::ChildProcess;
using Verbena::Test::sendHttp;

// A platform, an engine with its agent and a router, all as processes; settings come from the table.
class AcceptedSettingsTest : public testing::Test
{
protected:
    AcceptedSettingsTest()
        : m_platform("verbena-standin", {"platform"})
        , m_platformUrl("http://" + m_platform.waitForLine("listening http "))
        , m_engine("verbena-standin", {"engine"})
        , m_agent("verbena-agent", {"--settings", agentFile(m_engine.waitForLine("listening http "))})
        , m_agentUrl("http://" + m_agent.waitForLine("listening status "))
        , m_endpoint(m_agent.waitForLine("listening zmq "))
    {
        startRouter();
    }

    void startRouter()
    {
        const std::string file
            = m_folder.write("router.yaml", "name: r1\nplatform_url: " + m_platformUrl + "\nsettings_peers: [{name: e1, endpoint: \"" + m_endpoint + "\"}]\n");
        m_router = std::make_unique<ChildProcess>("verbena-router", std::vector<std::string>{"--settings", file});
        m_routerUrl = "http://" + m_router->waitForLine("listening http ");
    }

    std::string agentFile(const std::string &engine) const
    {
        return m_folder.write("agent.yaml",
            "name: e1\nendpoint: \"tcp://127.0.0.1:*\"\nbackend_url: http://" + engine + "\nplatform_url: " + m_platformUrl + "\nstatus: {port: 0}\n");
    }

    int apply(const std::string &text) const
    {
        return ChildProcess("verbenactl", {"--platform", m_platformUrl, "settings", "apply", m_folder.write("tree.yaml", text)}).waitForExit();
    }

    std::string tree(const std::string &key) const
    {
        return "models: {analyst: {}}\nbackend_servers: {e1: {endpoint: \"" + m_endpoint
            + "\", models: [analyst]}}\norganisations:\n  kessick: {teams: {dams: {keys: [" + sha256Hex(key) + "], models: [analyst]}}, share: 1}\n";
    }

    int completionStatus(const std::string &key) const
    {
        return sendHttp("POST", m_routerUrl + "/v1/completions", {"Authorization: Bearer " + key}, R"({"model":"analyst","prompt":"wall","max_tokens":2})")
            .status;
    }

    void waitForStatus(const std::string &key, int status) const
    {
        while (completionStatus(key) != status) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    std::string showFleet() const
    {
        ChildProcess status("verbenactl", {"--platform", m_platformUrl, "--process", m_routerUrl, "--process", m_agentUrl, "status"});
        return status.waitForLine("Accepted revision 2; ");
    }

    Verbena::Test::TemporaryFolder m_folder;
    ChildProcess m_platform;
    std::string m_platformUrl;
    ChildProcess m_engine;
    ChildProcess m_agent;
    std::string m_agentUrl;
    std::string m_endpoint;
    std::unique_ptr<ChildProcess> m_router;
    std::string m_routerUrl;
};

TEST_F(AcceptedSettingsTest, comeIntoForceAtTheRouterAndStayOverARestartWithoutThePlatform)
{
    // Without settings the router cannot know whether a key is good, and says that it is not ready.
    EXPECT_EQ(completionStatus("first"), 503);
    EXPECT_EQ(sendHttp("GET", m_routerUrl + "/readyz", {}, "").status, 503);
    ASSERT_EQ(apply(tree("first")), 0);
    waitForStatus("first", 200);
    EXPECT_EQ(completionStatus("second"), 401);
    EXPECT_EQ(sendHttp("GET", m_routerUrl + "/readyz", {}, "").status, 200);
    ASSERT_EQ(apply(tree("second")), 0);
    waitForStatus("second", 200);
    EXPECT_EQ(completionStatus("first"), 401);
    // The agent is all that the router can ask after the platform is out, so it has to hold the second revision by then.
    while (showFleet() != "0 of 2 processes lag.") {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    ASSERT_EQ(sendHttp("POST", m_platformUrl + "/control", {}, R"({"outage":"refusing"})").status, 200);
    startRouter();
    waitForStatus("second", 200);
    EXPECT_EQ(completionStatus("first"), 401);
}

} // namespace

} // namespace Verbena::Operator
