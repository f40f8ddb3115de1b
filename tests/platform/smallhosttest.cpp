#include "smallhosttest.h"

#include <core/processmemory.h>
#include <support/socketqueues.h>

#include <algorithm>

namespace Verbena::Test {

namespace {

constexpr std::size_t serverHost = 210;
constexpr std::uint64_t newConfiguration = 9;

WorkerScript shortAnswer(const std::string &head)
{
    return {head + "Content-Length: 2\r\n\r\nok"};
}

nlohmann::json configurationWithStream()
{
    nlohmann::json configuration = PlatformDeployment::configuration(newConfiguration);
    nlohmann::json &first = configuration["routes"][0];
    first["timeoutMs"] = 30'000; // Inherited by the other routes.
    nlohmann::json brief = first;
    brief["name"] = "brief";
    brief["prefix"] = "/brief/";
    brief["resumable"] = true;
    brief["attempts"] = 2;
    brief["service"] = "loader";
    configuration["routes"].push_back(brief);
    return configuration;
}

} // namespace

SmallHostTest::SmallHostTest(WorkerFake::Answer answer)
    : m_deployment(1)
    , m_server(
          m_deployment.loop(),
          [answer = std::move(answer)](const Http::MessageHead &head, const std::string &body) {
              return head.target == shortPath ? shortAnswer(answerHead(head, "200 OK")) : answer(head, body);
          },
          m_deployment.hostNumber(serverHost) + ":0")
{
    m_deployment.addLoadedServer(configurationWithStream(), m_server.address());
    m_deployment.setHostLimits(hostLimits);
    m_deployment.restartRouter();
    EXPECT_TRUE(m_deployment.runUntil([this] { return isServed(); }));
}

std::string SmallHostTest::answerHead(const Http::MessageHead &head, const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nVerbenaladder-Attempt-Id: " + *head.field("Verbenaladder-Attempt-Id") + "\r\nVerbenaladder-Server-Stamp: stamp\r\n";
}

std::unique_ptr<CallerFake> SmallHostTest::ask(const std::string &path)
{
    auto caller = std::make_unique<CallerFake>(m_deployment.loop(), m_deployment.callersEndpoint());
    caller->send("POST " + path + " HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: u" + std::to_string(++m_asked)
        + "\r\nVerbenaladder-Deadline-Ms: 25000\r\nAuthorization: Token secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    return caller;
}

std::string SmallHostTest::askShort()
{
    const auto caller = ask(shortPath);
    EXPECT_TRUE(m_deployment.runUntil([&caller] { return caller->isClosed(); }));
    return caller->received();
}

bool SmallHostTest::isServed()
{
    return askShort().starts_with("HTTP/1.1 200");
}

std::uint64_t SmallHostTest::routerBytes()
{
    return Core::processMemory(m_deployment.router().pid(), "RssAnon:");
}

std::uint64_t SmallHostTest::hostBytesInUse()
{
    const in_addr server = Http::Endpoint::parse(m_server.address()).value().address.sin_addr;
    return routerBytes() + unacknowledgedBytesFrom(m_deployment.callersEndpoint().address.sin_addr) + unreadBytesFrom(server);
}

std::uint64_t SmallHostTest::mostWithin(std::chrono::milliseconds span, const std::function<std::uint64_t()> &bytes)
{
    const Core::TimePoint end = m_deployment.loop().now() + span;
    std::uint64_t most = 0;
    EXPECT_TRUE(m_deployment.runUntil([&] {
        most = std::max(most, bytes());
        return m_deployment.loop().now() >= end;
    }));
    return most;
}

void SmallHostTest::expectWithinHost(std::chrono::milliseconds span, const std::function<void()> &turn)
{
    const std::uint64_t most = mostWithin(span, [&] {
        turn();
        return hostBytesInUse();
    });
    RecordProperty("most_in_use", std::to_string(most));
#ifndef __SANITIZE_ADDRESS__
    EXPECT_LT(most, hostLimits.memoryMegabytes * bytesPerMegabyte);
#endif
}

} // namespace Verbena::Test
