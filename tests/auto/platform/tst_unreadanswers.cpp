#include <platform/platformdeployment.h>
#include <support/socketqueues.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;

constexpr HostLimits hostLimits{64, 4100};
constexpr std::uint64_t bytesPerMegabyte = 1'000'000;

// What a router holds at rest, at most.
constexpr std::uint64_t restBytes = 30 * bytesPerMegabyte;
constexpr std::uint64_t roomBytes = hostLimits.memoryMegabytes * bytesPerMegabyte - restBytes;

constexpr std::size_t serverHost = 210;
constexpr std::uint64_t newConfiguration = 9;
constexpr std::size_t callers = 60;
constexpr std::size_t answerBytes = 3'000'000;
constexpr std::chrono::milliseconds pause{2000};

class UnreadAnswersTest : public testing::Test
{
protected:
    UnreadAnswersTest()
        : m_deployment(1)
        , m_server(
              m_deployment.loop(),
              [this](const Http::MessageHead &head, const std::string &) { return answer(head); },
              m_deployment.hostNumber(serverHost) + ":0")
    {
        nlohmann::json configuration = PlatformDeployment::configuration(newConfiguration);
        configuration["routes"][0]["timeoutMs"] = 30'000; // Inherited by the route of the server.
        m_deployment.addLoadedServer(configuration, m_server.address());
        m_deployment.setHostLimits(hostLimits);
        m_deployment.restartRouter();
        EXPECT_TRUE(m_deployment.runUntil([this] { return isServed(); }));
    }

    WorkerScript answer(const Http::MessageHead &head) const
    {
        const std::string &body = head.target == "/load/long" ? m_longBody : m_shortBody;
        return {"HTTP/1.1 200 OK\r\nVerbenaladder-Attempt-Id: " + *head.field("Verbenaladder-Attempt-Id")
            + "\r\nVerbenaladder-Server-Stamp: stamp\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    }

    // Returns a caller that has asked for \a path.
    std::unique_ptr<CallerFake> ask(const std::string &path)
    {
        auto caller = std::make_unique<CallerFake>(m_deployment.loop(), m_deployment.callersEndpoint());
        caller->send("POST " + path + " HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: u" + std::to_string(++m_asked)
            + "\r\nVerbenaladder-Deadline-Ms: 25000\r\nAuthorization: Token secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    // Returns whether a request of a caller that reads is served.
    bool isServed()
    {
        const auto caller = ask("/load/short");
        EXPECT_TRUE(m_deployment.runUntil([&caller] { return caller->isClosed(); }));
        return caller->received().starts_with("HTTP/1.1 200");
    }

    // Returns the most that the system holds within \a span of what the router has sent to its callers.
    std::uint64_t mostUntakenWithin(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_deployment.loop().now() + span;
        std::uint64_t most = 0;
        EXPECT_TRUE(m_deployment.runUntil([&] {
            most = std::max(most, unacknowledgedBytesFrom(m_deployment.callersEndpoint().address.sin_addr));
            return m_deployment.loop().now() >= end;
        }));
        return most;
    }

    const std::string m_longBody = std::string(answerBytes, 'x');
    const std::string m_shortBody = "ok";
    PlatformDeployment m_deployment;
    WorkerFake m_server;
    std::size_t m_asked = 0;
};

// The system took megabytes of answers for each caller that did not read, more than the router's host had in all.
TEST_F(UnreadAnswersTest, systemHoldsMoreForCallersThatDoNotReadThanTheHostHas)
{
    std::vector<std::unique_ptr<CallerFake>> slow;
    for (std::size_t number = 0; number < callers; ++number) {
        slow.push_back(ask("/load/long"));
        slow.back()->setReading(false);
    }
    EXPECT_LT(mostUntakenWithin(pause), roomBytes);
    EXPECT_TRUE(isServed());
    for (const auto &caller : slow) {
        caller->setReading(true);
    }
    EXPECT_TRUE(m_deployment.runUntil([&slow] { return std::all_of(slow.begin(), slow.end(), [](const auto &caller) { return caller->isClosed(); }); }));
    const auto isWhole = [this](const auto &caller) {
        return caller->received().starts_with("HTTP/1.1 200") && caller->received().ends_with(m_longBody);
    };
    EXPECT_EQ(std::count_if(slow.begin(), slow.end(), isWhole), static_cast<std::ptrdiff_t>(callers));
}

} // namespace

} // namespace Verbena::Test
