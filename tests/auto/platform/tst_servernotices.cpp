#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t routers = 3;
constexpr std::size_t secondEngineHost = 210;
constexpr auto sendInterval = 10ms;

// From then on a router sends nothing to a server that has said that it leaves.
constexpr auto leavingTime = 2s;

// From then on, until the end of the rest, so many requests of one router may reach a server that asked for rest.
constexpr auto restNoticeTime = 500ms;
constexpr std::size_t mostDuringRest = 2;

class ServerNoticesTest : public testing::Test
{
protected:
    ServerNoticesTest()
        : m_deployment(routers)
        , m_second(m_deployment.loop(), m_deployment.hostNumber(secondEngineHost))
    {
        nlohmann::json configuration = PlatformDeployment::configuration(9);
        configuration["routes"][0]["attempts"] = 2;
        m_deployment.store().put("op", "config", configuration);
        registerEngine("i-2", m_second, 1);
        EXPECT_TRUE(m_deployment.runUntil([this] {
            sendFor(100ms);
            return !m_second.runs().empty() && !m_deployment.engine().runs().empty();
        }));
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.askUntil("200 OK", "secret", "/wall/2f", router));
        }
    }

    void registerEngine(const std::string &id, const EngineFake &engine, int sequence)
    {
        m_deployment.store().put("servers",
            id,
            {{"service", "reader"},
                {"address", engine.address()},
                {"zone", "hall"},
                {"slots", 96},
                {"phase", "ready"},
                {"models", {{{"name", "m"}, {"version", 1}}}},
                {"sequence", sequence}});
    }

    struct Caller
    {
        std::size_t router = 0;
        std::unique_ptr<CallerFake> caller;
    };

    // Sends requests to all routers in turn for \a span, and waits for their answers.
    void sendFor(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_deployment.loop().now() + span;
        while (m_deployment.loop().now() < end) {
            const std::size_t router = ++m_count % routers;
            m_callers.push_back({router, std::make_unique<CallerFake>(m_deployment.loop(), m_deployment.callersEndpoint(router))});
            m_callers.back().caller->send("POST /wall/2f HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + std::to_string(router) + '-'
                + std::to_string(m_count) + "\r\nVerbenaladder-Model: m\r\nVerbenaladder-Token-Count: 100,10\r\nVerbenaladder-Prompt-Prefix: a"
                + std::to_string(m_count % 7) + ":60,b" + std::to_string(m_count)
                + ":40\r\nVerbenaladder-Deadline-Ms: 5000\r\nAuthorization: Token secret\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
            m_deployment.runFor(sendInterval);
            takeAnswers();
        }
        m_deployment.runUntil([this] {
            takeAnswers();
            return m_callers.empty();
        });
    }

    void takeAnswers()
    {
        for (const Caller &each : m_callers) {
            if (!each.caller->isClosed()) {
                continue;
            }
            m_served += each.caller->received().starts_with("HTTP/1.1 200") ? 1 : 0;
            if (each.caller->received().find("Server-Leaving: 1") != std::string::npos && !m_toldAt[each.router].has_value()) {
                m_toldAt[each.router] = m_deployment.loop().now();
            }
        }
        std::erase_if(m_callers, [](const Caller &each) { return each.caller->isClosed(); });
    }

    // Returns the times at which requests of \a router reached \a engine.
    static std::vector<Core::TimePoint> arrivals(const EngineFake &engine, std::size_t router)
    {
        std::vector<Core::TimePoint> times;
        for (std::size_t index = 0; index < engine.runs().size(); ++index) {
            const std::string *id = engine.runs()[index].field("Verbenaladder-Attempt-Id");
            if (id != nullptr && id->starts_with(std::to_string(router) + '-')) {
                times.push_back(engine.runTimes()[index]);
            }
        }
        return times;
    }

    static std::size_t countBetween(const std::vector<Core::TimePoint> &times, Core::TimePoint begin, Core::TimePoint end)
    {
        return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](Core::TimePoint at) { return at > begin && at < end; }));
    }

    PlatformDeployment m_deployment;
    EngineFake m_second;
    std::vector<Caller> m_callers;
    std::size_t m_count = 0;
    std::size_t m_served = 0;
    std::array<std::optional<Core::TimePoint>, routers> m_toldAt; ///< First answer of each router that said that its server leaves.
};

// While the store was away, routers went on sending to an engine whose answers said that it was leaving, and a late row of the store brought it back.
TEST_F(ServerNoticesTest, keepsAwayFromAnEngineThatSaysItLeaves)
{
    m_deployment.store().setMode(StoreStandin::Mode::Silent);
    m_deployment.engine().sayLeaving();
    sendFor(1s + leavingTime);
    const std::size_t served = m_served;
    sendFor(1s);
    EXPECT_GT(m_served, served) << "by the other engine";
    m_deployment.store().setMode(StoreStandin::Mode::Well);
    registerEngine("i-1", m_deployment.engine(), 2);
    sendFor(2s);
    for (std::size_t router = 0; router < routers; ++router) {
        ASSERT_TRUE(m_toldAt[router].has_value()) << router;
        EXPECT_EQ(countBetween(arrivals(m_deployment.engine(), router), *m_toldAt[router] + leavingTime, Core::TimePoint::max()), 0U) << router;
    }
}

// An engine that asked for seconds of rest got requests of the same router again after each tenth of a second.
TEST_F(ServerNoticesTest, leavesAnEngineAloneThatAsksForRest)
{
    constexpr auto rest = 3s;
    const Core::TimePoint begin = m_deployment.loop().now();
    m_deployment.engine().refuse(rest);
    sendFor(rest + 500ms);
    for (std::size_t router = 0; router < routers; ++router) {
        const std::vector<Core::TimePoint> times = arrivals(m_deployment.engine(), router);
        const auto first = std::upper_bound(times.begin(), times.end(), begin);
        ASSERT_NE(first, times.end()) << router;
        EXPECT_LE(countBetween(times, *first + restNoticeTime, *first + rest), mostDuringRest) << router;
    }
    m_deployment.engine().refuse(std::nullopt);
    const std::size_t before = m_deployment.engine().runs().size();
    EXPECT_TRUE(m_deployment.runUntil([&] {
        sendFor(100ms);
        return m_deployment.engine().runs().size() > before + routers;
    })) << "after its rest";
}

} // namespace

} // namespace Verbena::Test
