#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace Verbena::Test {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t spareHost = 200; // The address after that of the deployment's engine.
constexpr std::chrono::milliseconds latencyTarget{10'000}; // Longer than any request waits, so that none is refused because of another one.
constexpr std::chrono::milliseconds work{3500}; // Longer than an engine may be silent before it counts as lost.

/// \brief A router with an engine that works for some seconds on each request, and a second engine; each has an agent.
class AgentEndTest : public testing::Test
{
protected:
    AgentEndTest()
        : m_spareAgent(m_deployment.startFurtherAgent("side-2", m_spare, "spare"))
    {
        json configuration = PlatformDeployment::configuration(9);
        configuration["routes"][0]["targetLatencyMs"] = latencyTarget.count();
        configuration["routes"].push_back(route("/again/", "reader", true));
        configuration["routes"].push_back(route("/spare/", "spare", false));
        configuration["services"].push_back({{"name", "spare"}, {"engine", {{"slots", 96}}}});
        m_deployment.store().put("op", "config", configuration);
        registerSpare("spare", 1);
    }

    // Sends a request that may run once and one that may go on elsewhere to the first engine; then the second engine serves the same requests.
    void sendToFirstEngine()
    {
        ASSERT_TRUE(isHeard("/wall/a", "i-1"));
        ASSERT_TRUE(isHeard("/spare/a", "i-2"));
        m_deployment.engine().workFor(work);
        m_once = send("/wall/b", "once");
        m_again = send("/again/b", "again");
        ASSERT_TRUE(m_deployment.runUntil([this] { return countRuns(m_deployment.engine(), "/again/b") + countRuns(m_deployment.engine(), "/wall/b") == 2; }));
        registerSpare("reader", 2);
    }

    void runUntilAnswered()
    {
        EXPECT_TRUE(m_deployment.runUntil([this] { return m_once->isClosed() && m_again->isClosed(); }));
    }

    static std::size_t countRuns(const EngineFake &engine, const std::string &path)
    {
        const auto &runs = engine.runs();
        return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&path](const Http::MessageHead &head) { return head.target == path; }));
    }

    PlatformDeployment m_deployment;
    EngineFake m_spare{m_deployment.loop(), m_deployment.hostNumber(spareHost)};
    std::unique_ptr<ChildProcess> m_spareAgent;
    std::unique_ptr<CallerFake> m_once;
    std::unique_ptr<CallerFake> m_again;

private:
    static json route(const std::string &prefix, const std::string &service, bool isResumable)
    {
        json route = PlatformDeployment::configuration(9)["routes"][0];
        route["name"] = prefix;
        route["prefix"] = prefix;
        route["service"] = service;
        route["attempts"] = 2;
        route["targetLatencyMs"] = latencyTarget.count();
        route["resumable"] = isResumable;
        return route;
    }

    void registerSpare(const std::string &service, int sequence)
    {
        m_deployment.store().put("servers",
            "i-2",
            {{"service", service},
                {"address", m_spare.address()},
                {"zone", "hall"},
                {"slots", 96},
                {"phase", "ready"},
                {"models", {{{"name", "m"}, {"version", 1}}}},
                {"sequence", sequence}});
    }

    // Returns whether the router hears of the agent beside \a server, by the ends of requests on \a path.
    bool isHeard(const std::string &path, const std::string &server)
    {
        const Core::TimePoint deadline = m_deployment.loop().now() + 30s;
        while (m_deployment.loop().now() < deadline) {
            m_deployment.ask("secret", path);
            std::istringstream lines(m_deployment.router().takeOutput());
            for (std::string line; std::getline(lines, line);) {
                const json event = json::parse(line, nullptr, false);
                if (event.is_object() && event.value("event", "") == "request_ended" && event.value("server", "") == server
                    && !event.value("news_ms", "").empty()) {
                    return true;
                }
            }
        }
        return false;
    }

    std::unique_ptr<CallerFake> send(const std::string &path, const std::string &id)
    {
        auto caller = std::make_unique<CallerFake>(m_deployment.loop(), m_deployment.callersEndpoint());
        std::string request = "POST " + path + " HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + id;
        request.append("\r\nVerbenaladder-Model: m\r\nVerbenaladder-Token-Count: 100,10\r\nVerbenaladder-Prompt-Prefix: a:60,b:40\r\n");
        caller->send(request.append("Verbenaladder-Deadline-Ms: 10000\r\nAuthorization: Token secret\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"));
        return caller;
    }
};

// Requests were taken off a sound engine, or answered as lost, while only the agent beside it was restarted.
TEST_F(AgentEndTest, plannedEndOfAnAgentLosesItsEnginesRequests)
{
    sendToFirstEngine();
    m_deployment.agent().sendSignal(SIGTERM);
    EXPECT_EQ(m_deployment.agent().waitForExit(), 0);
    runUntilAnswered();
    EXPECT_TRUE(m_once->received().starts_with("HTTP/1.1 200")) << m_once->received();
    EXPECT_TRUE(m_again->received().starts_with("HTTP/1.1 200")) << m_again->received();
    EXPECT_EQ(countRuns(m_deployment.engine(), "/again/b"), 1U);
    EXPECT_EQ(countRuns(m_spare, "/again/b"), 0U);
}

// An agent that is killed says nothing, so that its host may have stopped.
TEST_F(AgentEndTest, killedAgentLeavesRequestsAtItsEngine)
{
    sendToFirstEngine();
    m_deployment.agent().sendSignal(SIGKILL);
    EXPECT_EQ(m_deployment.agent().waitForExit(), -SIGKILL);
    runUntilAnswered();
    EXPECT_TRUE(m_once->received().starts_with("HTTP/1.1 502")) << m_once->received();
    EXPECT_TRUE(m_again->received().starts_with("HTTP/1.1 200")) << m_again->received();
    EXPECT_EQ(countRuns(m_spare, "/again/b"), 1U);
}

} // namespace

} // namespace Verbena::Test
