#include <platform/crashingfleet.h>
#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t routers = 3;
constexpr std::size_t servers = 6;
constexpr std::size_t fleetHost = 210;

// After the contact time, all routers have to know of a request that has crashed so many servers.
constexpr std::size_t knownCrashes = 3;

json plainConfiguration(std::uint64_t version)
{
    json configuration = PlatformDeployment::configuration(version);
    json &route = configuration["routes"][0];
    route["kind"] = "idempotent";
    route["service"] = "register";
    route["attempts"] = 2;
    configuration["services"] = {{{"name", "register"}}};
    return configuration;
}

class CrashingRequestsTest : public testing::Test
{
protected:
    CrashingRequestsTest()
        : m_deployment(routers)
        , m_fleet(m_deployment.loop(), m_deployment.store(), m_deployment.hostNumber(fleetHost), "register", servers, 700ms)
    {
        m_deployment.store().put("op", "config", plainConfiguration(9));
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.runUntil([&] { return status(ask("well", router)) == "200"; }));
        }
    }

    std::string ask(const std::string &body, std::size_t router, const std::string &key = "secret")
    {
        CallerFake caller(m_deployment.loop(), m_deployment.callersEndpoint(router));
        caller.send("POST /wall/2f HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + std::to_string(++m_lastId)
            + "\r\nVerbenaladder-Deadline-Ms: 5000\r\nAuthorization: Token " + key + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nConnection: close\r\n\r\n" + body);
        EXPECT_TRUE(m_deployment.runUntil([&caller] { return caller.isClosed(); }));
        return caller.received();
    }

    static std::string status(const std::string &answer)
    {
        return answer.size() < 12 ? std::string() : answer.substr(9, 3);
    }

    // Sends the request that crashes its servers to one router after the other for \a span.
    void crashFor(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_deployment.loop().now() + span;
        while (m_deployment.loop().now() < end) {
            const Core::TimePoint next = m_deployment.loop().now() + 30ms;
            const std::size_t before = m_fleet.crashes().size();
            const std::string got = ask(crashingBody, m_lastId % routers);
            const bool hasRun = m_fleet.crashes().size() > before;
            EXPECT_TRUE(status(got) == "502" || (status(got) == "503" && !hasRun)) << got;
            m_deployment.runUntil([&] { return m_deployment.loop().now() >= next; });
        }
    }

    PlatformDeployment m_deployment;
    CrashingFleet m_fleet;
    std::uint64_t m_lastId = 0;
};

// A request that ended its backend servers went on to be sent to others by whichever router it came to.
TEST_F(CrashingRequestsTest, reachesFewServersWhicheverRouterItComesTo)
{
    crashFor(8s);
    RecordProperty("crashes", static_cast<int>(m_fleet.crashes().size()));
    EXPECT_LE(m_fleet.retriesAfter(knownCrashes), maximumRetries);
    EXPECT_LE(m_fleet.crashes().size(), knownCrashes + maximumRetries);
    EXPECT_EQ(status(ask("well", 0)), "200");
}

// Routers that are killed forgot which requests end their backend servers.
TEST_F(CrashingRequestsTest, reachesFewServersThoughAllRoutersAreKilledAgainAndAgain)
{
    for (int round = 0; round < 4; ++round) {
        crashFor(2s);
        for (std::size_t router = 0; router < routers; ++router) {
            m_deployment.restartRouter(router);
        }
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.runUntil([&] { return status(ask("well", router)) == "200"; }));
        }
    }
    RecordProperty("crashes", static_cast<int>(m_fleet.crashes().size()));
    EXPECT_LE(m_fleet.retriesAfter(knownCrashes), maximumRetries);
    EXPECT_LE(m_fleet.crashes().size(), knownCrashes + maximumRetries);
}

} // namespace

} // namespace Verbena::Test
