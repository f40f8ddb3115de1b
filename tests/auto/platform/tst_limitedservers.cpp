#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t routers = 3;
constexpr double limit = 1;

// The platform counts arrivals in any such window, and allows half more than the limit and some requests.
constexpr auto window = 4s;
constexpr std::size_t allowed = 11;

// By then all routers have to keep a limit that was named to one of them.
constexpr auto noticeTime = 3s;

// Many times what the limit allows, for any router.
constexpr auto requestInterval = 5ms;
constexpr auto sendInterval = 20ms;

nlohmann::json resumableConfiguration(std::uint64_t version)
{
    nlohmann::json configuration = PlatformDeployment::configuration(version);
    configuration["routes"][0]["resumable"] = true;
    configuration["routes"][0]["attempts"] = 2;
    return configuration;
}

// An engine that breaks off each stream after its first event.
class CuttingEngine
{
public:
    explicit CuttingEngine(PlatformDeployment &deployment)
        : m_worker(
            deployment.loop(), [](const Http::MessageHead &head, const std::string &) { return answer(head); }, deployment.hostNumber(host) + ":0")
    {
        deployment.store().put("servers",
            "i-2",
            {{"service", "reader"},
                {"address", m_worker.address()},
                {"zone", "hall"},
                {"slots", 96},
                {"phase", "ready"},
                {"models", {{{"name", "m"}, {"version", 1}}}},
                {"sequence", 1}});
    }

    std::size_t runs() const
    {
        return m_worker.heads().size();
    }

private:
    static constexpr std::size_t host = 210;

    static WorkerScript answer(const Http::MessageHead &head)
    {
        const std::string *id = head.field("Verbenaladder-Attempt-Id");
        const std::string fields = "Verbenaladder-Attempt-Id: " + (id == nullptr ? "" : *id) + "\r\nVerbenaladder-Server-Stamp: stamp\r\n";
        return {"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n", WorkerScript::End::Close};
    }

    WorkerFake m_worker;
};

class LimitedServersTest : public testing::Test
{
protected:
    LimitedServersTest()
        : m_deployment(routers)
    {
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.askUntil("200 OK", "secret", "/wall/2f", router));
        }
    }

    // Sends requests to all routers in turn; returns how many were answered.
    std::size_t askFor(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_deployment.loop().now() + span;
        std::size_t answered = 0;
        while (m_deployment.loop().now() < end) {
            const std::string answer = m_deployment.ask("secret", "/wall/2f", m_next++ % routers);
            answered += answer.find("200 OK") != std::string::npos ? 1 : 0;
            m_deployment.runFor(requestInterval);
        }
        return answered;
    }

    // Sends requests to all routers in turn without waiting for their answers; each is marked with its router.
    void sendFor(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_deployment.loop().now() + span;
        while (m_deployment.loop().now() < end) {
            std::erase_if(m_callers, [](const auto &caller) { return caller->isClosed(); });
            const std::size_t router = m_next++ % routers;
            m_callers.push_back(std::make_unique<CallerFake>(m_deployment.loop(), m_deployment.callersEndpoint(router)));
            m_callers.back()->send("POST /wall/2f HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + std::to_string(router) + '-'
                + std::to_string(m_next) + "\r\nVerbenaladder-Model: m\r\nVerbenaladder-Token-Count: 100,10\r\nVerbenaladder-Prompt-Prefix: a:60,b:40\r\n"
                + "Verbenaladder-Deadline-Ms: 5000\r\nAuthorization: Token secret\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
            m_deployment.runFor(sendInterval);
        }
    }

    // Returns the largest number of arrivals at the engine in a window that begins at \a begin or later, without those of one router.
    std::size_t mostArrivals(Core::TimePoint begin, std::optional<std::size_t> excused = std::nullopt)
    {
        std::vector<Core::TimePoint> times;
        for (std::size_t run = 0; run < m_deployment.engine().runs().size(); ++run) {
            const std::string &id = *m_deployment.engine().runs()[run].field("Verbenaladder-Attempt-Id");
            if (!excused.has_value() || !id.starts_with(std::to_string(*excused) + '-')) {
                times.push_back(m_deployment.engine().runTimes()[run]);
            }
        }
        std::size_t most = 0;
        for (auto first = std::lower_bound(times.begin(), times.end(), begin); first != times.end(); ++first) {
            most = std::max<std::size_t>(most, std::lower_bound(first, times.end(), *first + window) - first);
        }
        return most;
    }

    PlatformDeployment m_deployment;
    std::vector<std::unique_ptr<CallerFake>> m_callers;
    std::size_t m_next = 0;
};

// No router read the limit that a backend server names, so that it got all requests for its prompts.
TEST_F(LimitedServersTest, getNoMoreThanTheyNamedFromAllRoutersTogether)
{
    m_deployment.engine().nameLimit(limit);
    const Core::TimePoint named = m_deployment.loop().now();
    askFor(12s);
    const std::size_t most = mostArrivals(named + noticeTime);
    RecordProperty("most", static_cast<int>(most));
    EXPECT_LE(most, allowed);
    EXPECT_GE(most, 2U);
}

// Streams of an engine that breaks off went on at another one beyond its limit, whatever became of the routers.
TEST_F(LimitedServersTest, getNoMoreThanTheyNamedFromStreamsThatGoOnWhileRoutersAreKilledAndStopped)
{
    constexpr std::size_t disturbedRouter = 0;
    m_deployment.store().put("op", "config", resumableConfiguration(9));
    const CuttingEngine cutting(m_deployment);
    m_deployment.engine().nameLimit(limit);
    const Core::TimePoint named = m_deployment.loop().now();
    for (int round = 0; round < 3; ++round) {
        sendFor(2s);
        m_deployment.restartRouter(disturbedRouter);
        sendFor(1s);
        m_deployment.router(disturbedRouter).sendSignal(SIGSTOP);
        sendFor(1s);
        m_deployment.router(disturbedRouter).sendSignal(SIGCONT);
    }
    EXPECT_GE(cutting.runs(), 50U);
    const auto &runs = m_deployment.engine().runs();
    const auto continued = std::count_if(runs.begin(), runs.end(), [](const auto &head) { return head.field("Last-Event-Id") != nullptr; });
    RecordProperty("continued", static_cast<int>(continued));
    EXPECT_GE(continued, 3);
    const std::size_t most = mostArrivals(named + noticeTime, disturbedRouter);
    RecordProperty("most", static_cast<int>(most));
    EXPECT_LE(most, allowed);
    EXPECT_GE(most, 2U);
}

// What a server no longer names must not keep requests away from it.
TEST_F(LimitedServersTest, getAllRequestsOnceTheyNameNoLimit)
{
    m_deployment.engine().nameLimit(limit);
    askFor(4s);
    m_deployment.engine().nameLimit(std::nullopt);
    askFor(4s);
    for (std::size_t router = 0; router < routers; ++router) {
        EXPECT_NE(m_deployment.ask("secret", "/wall/2f", router).find("200 OK"), std::string::npos);
    }
}

} // namespace

} // namespace Verbena::Test
