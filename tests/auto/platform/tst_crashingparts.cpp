#include <platform/crashingfleet.h>
#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t routers = 3;
constexpr std::size_t engines = 6;
constexpr std::size_t fleetHost = 210;

// After the contact time, all routers have to know of a part that has crashed so many engines.
constexpr std::size_t knownCrashes = 5;

constexpr auto sendInterval = 25ms;

// Number of parts that only some of the sound requests share.
constexpr std::size_t rareParts = 40;

json enginesConfiguration(std::uint64_t version)
{
    json configuration = PlatformDeployment::configuration(version);
    json &route = configuration["routes"][0];
    route["service"] = "drafts";
    route["attempts"] = 2;
    route["resumable"] = true;
    configuration["services"].push_back({{"name", "drafts"}, {"engine", {{"slots", 96}}}});
    return configuration;
}

// A request that is on its way, or has been answered.
struct SentRequest
{
    Core::TimePoint sentAt;
    bool isSound = true;
    std::unique_ptr<CallerFake> caller;

    bool isServed() const
    {
        return caller->received().starts_with("HTTP/1.1 200") && caller->received().find("data: ok") != std::string::npos;
    }
};

class CrashingPartsTest : public testing::Test
{
protected:
    CrashingPartsTest()
        : m_deployment(routers)
        , m_fleet(m_deployment.loop(), m_deployment.store(), m_deployment.hostNumber(fleetHost), "drafts", engines, 700ms, CrashingFleet::Kind::Engines)
    {
        m_deployment.store().put("op", "config", enginesConfiguration(9));
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.runUntil([&] {
                const SentRequest request = send("shared:60", router, true);
                m_deployment.runUntil([&request] { return request.caller->isClosed(); });
                return request.isServed();
            }));
        }
    }

    // Sends a request whose prompt begins with \a parts and ends with a part of its own.
    SentRequest send(const std::string &parts, std::size_t router, bool isSound)
    {
        const std::string id = std::to_string(++m_lastId);
        SentRequest request{m_deployment.loop().now(), isSound, std::make_unique<CallerFake>(m_deployment.loop(), m_deployment.callersEndpoint(router))};
        request.caller->send("POST /wall/2f HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + id
            + "\r\nVerbenaladder-Model: m\r\nVerbenaladder-Token-Count: 100,10\r\nVerbenaladder-Prompt-Prefix: " + parts + ",own" + id
            + ":20\r\nVerbenaladder-Deadline-Ms: 5000\r\nAuthorization: Token secret\r\nContent-Length: " + std::to_string(id.size())
            + "\r\nConnection: close\r\n\r\n" + id);
        return request;
    }

    // Sends a crashing request and a sound one at a time, each to the next router, for \a span.
    void sendFor(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_deployment.loop().now() + span;
        while (m_deployment.loop().now() < end) {
            const std::size_t number = m_requests.size();
            m_requests.push_back(send("shared:60,bad:20", number % routers, false));
            m_requests.push_back(send("shared:60,rare" + std::to_string(number % rareParts) + ":20", (number + 1) % routers, true));
            m_deployment.runFor(sendInterval);
        }
        m_deployment.runUntil([this] { return std::all_of(m_requests.begin(), m_requests.end(), [](const auto &each) { return each.caller->isClosed(); }); });
    }

    void restartAllRouters()
    {
        for (std::size_t router = 0; router < routers; ++router) {
            m_deployment.restartRouter(router);
        }
    }

    // Returns the share of the sound requests, sent at \a begin or later, that were served.
    double servedShare(Core::TimePoint begin) const
    {
        const auto isCounted = [begin](const SentRequest &each) {
            return each.isSound && each.sentAt >= begin;
        };
        const auto sent = std::count_if(m_requests.begin(), m_requests.end(), isCounted);
        const auto served = std::count_if(m_requests.begin(), m_requests.end(), [&](const auto &each) { return isCounted(each) && each.isServed(); });
        return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
    }

    PlatformDeployment m_deployment;
    CrashingFleet m_fleet;
    std::vector<SentRequest> m_requests;
    std::uint64_t m_lastId = 0;
};

// Requests of which no two were alike went on to end engines, whichever router they came to, as only whole requests were remembered.
TEST_F(CrashingPartsTest, reachesFewEnginesWhicheverRouterItComesTo)
{
    const Core::TimePoint begin = m_deployment.loop().now();
    sendFor(9s);
    RecordProperty("crashes", static_cast<int>(m_fleet.crashes().size()));
    RecordProperty("retries", static_cast<int>(m_fleet.retriesAfter(knownCrashes)));
    RecordProperty("served percent", static_cast<int>(100 * servedShare(begin + 2 * contactTime)));
    EXPECT_LE(m_fleet.retriesAfter(knownCrashes), maximumRetries);
    EXPECT_LE(m_fleet.crashes().size(), knownCrashes + maximumRetries);
    EXPECT_GE(servedShare(begin + 2 * contactTime), 0.9);
}

// Routers that are killed forgot which parts end the engines.
TEST_F(CrashingPartsTest, reachesFewEnginesThoughAllRoutersAreKilledAgainAndAgain)
{
    for (int round = 0; round < 4; ++round) {
        sendFor(2s);
        restartAllRouters();
        m_deployment.runFor(500ms);
    }
    RecordProperty("crashes", static_cast<int>(m_fleet.crashes().size()));
    RecordProperty("retries", static_cast<int>(m_fleet.retriesAfter(knownCrashes)));
    EXPECT_LE(m_fleet.retriesAfter(knownCrashes), maximumRetries);
}

} // namespace

} // namespace Verbena::Test
