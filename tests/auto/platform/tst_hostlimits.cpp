#include <core/processmemory.h>
#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;

constexpr HostLimits hostLimits{64, 4100};
constexpr std::int64_t bytesPerMegabyte = 1'000'000;

// What a router holds at rest, at most; tests look at what is added to it.
constexpr std::int64_t restBytes = 30 * bytesPerMegabyte;
constexpr std::int64_t hostBytes = std::int64_t(hostLimits.memoryMegabytes) * bytesPerMegabyte;

constexpr std::size_t serverHost = 210;
constexpr rlim_t smallLimit = 256;

// Field of /proc/PID/stat that holds the processor time in the kernel; the one before holds that of the program itself.
constexpr int lastTimeField = 15;
constexpr std::uint64_t newConfiguration = 9;

class HostLimitsTest : public testing::Test
{
protected:
    HostLimitsTest()
        : m_deployment(1)
        , m_server(
              m_deployment.loop(), [](const Http::MessageHead &head, const std::string &) { return answer(head); }, m_deployment.hostNumber(serverHost) + ":0")
    {
        nlohmann::json configuration = PlatformDeployment::configuration(newConfiguration);
        configuration["limits"]["maxBodyBytes"] = 4'194'304;
        m_deployment.addLoadedServer(configuration, m_server.address());
        m_deployment.setHostLimits(hostLimits);
        m_deployment.restartRouter();
        EXPECT_TRUE(m_deployment.runUntil([this] { return isServed(); }));
        m_heldAtRest = heldBytes();
    }

    static WorkerScript answer(const Http::MessageHead &head)
    {
        if (head.target == "/load/unanswered") {
            return {};
        }
        if (head.target == "/load/endless") {
            return {"HTTP/1.1 200 OK\r\nVerbenaladder-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n"};
        }
        const std::string *id = head.field("Verbenaladder-Attempt-Id");
        return {"HTTP/1.1 200 OK\r\nVerbenaladder-Attempt-Id: " + (id == nullptr ? "" : *id)
            + "\r\nVerbenaladder-Server-Stamp: stamp\r\nContent-Length: 2\r\n\r\nok"};
    }

    // Returns the head of a request of which \a fields state how its body is framed.
    static std::string headOf(std::size_t number, const std::string &fields)
    {
        return "POST /load/a HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: l" + std::to_string(number)
            + "\r\nVerbenaladder-Deadline-Ms: 15000\r\nAuthorization: Token secret\r\nConnection: close\r\n" + fields;
    }

    // Returns whether a small request is served.
    bool isServed()
    {
        CallerFake caller(m_deployment.loop(), m_deployment.callersEndpoint());
        caller.send(headOf(++m_asked, "Content-Length: 2\r\n\r\nhi"));
        EXPECT_TRUE(m_deployment.runUntil([&caller] { return caller.isClosed(); }));
        return caller.received().starts_with("HTTP/1.1 200");
    }

    // Returns the anonymous memory of the router.
    std::int64_t heldBytes()
    {
        return memoryBytes("RssAnon:");
    }

    // Returns what the system says of the router's memory in the line \a name.
    std::int64_t memoryBytes(const std::string &name)
    {
        return static_cast<std::int64_t>(Core::processMemory(m_deployment.router().pid(), name));
    }

    CallerFake &addCaller()
    {
        m_callers.push_back(std::make_unique<CallerFake>(m_deployment.loop(), m_deployment.callersEndpoint()));
        return *m_callers.back();
    }

    // Runs until \a isDone; returns the most that the router has held meanwhile beyond what it held at rest.
    std::int64_t mostAddedUntil(const std::function<bool()> &isDone)
    {
        std::int64_t most = 0;
        EXPECT_TRUE(m_deployment.runUntil([&] {
            most = std::max(most, heldBytes() - m_heldAtRest);
            return isDone();
        }));
        return most;
    }

    // Closes the connections that the router has closed, as callers do.
    void hangUpClosed()
    {
        for (const auto &caller : m_callers) {
            if (caller->isClosed()) {
                caller->hangUp();
            }
        }
    }

    // Checks that a host that holds a router at rest has room for \a added bytes more. The address sanitizer keeps freed memory, so that its builds say
    // nothing.
    static void expectWithinHost([[maybe_unused]] std::int64_t added)
    {
#ifndef __SANITIZE_ADDRESS__
        EXPECT_LT(added, hostBytes - restBytes);
#endif
    }

    // Checks that callers that come at once, far more than \a limit allows to be connected, are served or refused.
    void expectAllAnswered(const rlimit &limit)
    {
        constexpr std::size_t callers = 600;
        m_deployment.setHostLimits({hostLimits.memoryMegabytes, hostLimits.descriptors, limit});
        m_deployment.restartRouter();
        ASSERT_TRUE(m_deployment.runUntil([this] { return isServed(); }));
        for (std::size_t number = 0; number < callers; ++number) {
            addCaller().send("POST /load/a HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: a" + std::to_string(number)
                + "\r\nVerbenaladder-Deadline-Ms: 15000\r\nAuthorization: Token secret\r\nContent-Length: 2\r\n\r\nhi");
        }
        const auto hasAnswer = [](const auto &caller) {
            return !caller->received().empty();
        };
        const Core::TimePoint end = m_deployment.loop().now() + 10s;
        EXPECT_TRUE(m_deployment.runUntil([&] {
            hangUpClosed();
            return std::all_of(m_callers.begin(), m_callers.end(), hasAnswer) || m_deployment.loop().now() >= end;
        }));
        EXPECT_EQ(countAnswers("HTTP/1.1 200") + countAnswers("HTTP/1.1 503"), callers);
        // While callers keep their connections, a router that is not asked anything is at rest.
        const double before = processorSeconds();
        m_deployment.runFor(1s);
        EXPECT_LT(processorSeconds() - before, 0.5);
    }

    // Returns the processor time that the router has used.
    double processorSeconds()
    {
        std::ifstream stat("/proc/" + std::to_string(m_deployment.router().pid()) + "/stat");
        std::string word;
        double ticks = 0;
        for (int field = 1; field <= lastTimeField && stat >> word; ++field) {
            ticks += field >= lastTimeField - 1 ? std::stod(word) : 0;
        }
        return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    bool areAllClosed() const
    {
        return std::all_of(m_callers.begin(), m_callers.end(), [](const auto &caller) { return caller->isClosed(); });
    }

    std::size_t countAnswers(const std::string &begin) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_callers.begin(), m_callers.end(), [&begin](const auto &caller) { return caller->received().starts_with(begin); }));
    }

    PlatformDeployment m_deployment;
    WorkerFake m_server;
    std::vector<std::unique_ptr<CallerFake>> m_callers;
    std::int64_t m_heldAtRest = 0;
    std::size_t m_asked = 100'000; ///< Number of the last small request, in its id.
};

// More than the host could hold.
constexpr std::size_t mostSentBytes = std::size_t(2) * hostBytes;

constexpr std::size_t uploads = 32;
constexpr std::size_t bodyBytes = 4'000'000;

// A router read all bodies at once, held each of them twice, and was killed for its memory with all that ran on it.
TEST_F(HostLimitsTest, isNotOutgrownByManyLargeBodies)
{
    const std::string body(bodyBytes, 'b');
    for (std::size_t number = 0; number < uploads; ++number) {
        addCaller().send(headOf(number, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body);
    }
    expectWithinHost(mostAddedUntil([this] { return areAllClosed(); }));
    EXPECT_EQ(countAnswers("HTTP/1.1 200") + countAnswers("HTTP/1.1 503"), uploads);
    EXPECT_GE(countAnswers("HTTP/1.1 200"), uploads / 2);
}

// The same, where no length says beforehand how much will come.
TEST_F(HostLimitsTest, isNotOutgrownByManyLargeBodiesInChunks)
{
    constexpr std::size_t chunkBytes = 50'000;
    std::string body;
    for (std::size_t sent = 0; sent < bodyBytes; sent += chunkBytes) {
        body += "c350\r\n" + std::string(chunkBytes, 'b') + "\r\n";
    }
    for (std::size_t number = 0; number < uploads; ++number) {
        addCaller().send(headOf(number, "Transfer-Encoding: chunked\r\n\r\n") + body + "0\r\n\r\n");
    }
    expectWithinHost(mostAddedUntil([this] { return areAllClosed(); }));
    EXPECT_EQ(countAnswers("HTTP/1.1 200") + countAnswers("HTTP/1.1 503"), uploads);
    EXPECT_GE(countAnswers("HTTP/1.1 200"), uploads / 4);
}

// Heads of many short fields within the limit took some thirteen times their size, and nothing counted them.
TEST_F(HostLimitsTest, isNotOutgrownByManyLongHeads)
{
    constexpr std::size_t heads = 500;
    constexpr std::size_t headBytes = 16'000;
    std::string fields;
    while (fields.size() < headBytes) {
        fields += "a:b\r\n";
    }
    for (std::size_t number = 0; number < heads; ++number) {
        addCaller().send("POST /load/a HTTP/1.1\r\nHost: x.example\r\n" + fields);
    }
    const Core::TimePoint end = m_deployment.loop().now() + 2s;
    expectWithinHost(mostAddedUntil([this, end] { return m_deployment.loop().now() >= end; }));
    EXPECT_TRUE(isServed());
}

// What callers sent behind their requests was kept until the answers.
TEST_F(HostLimitsTest, isNotOutgrownByWhatFollowsRequests)
{
    constexpr std::size_t requests = 600;
    constexpr std::size_t requestsAtOnce = 10;
    const std::string rest(63'000, 'x');
    std::int64_t most = 0;
    for (std::size_t number = 1; number <= requests; ++number) {
        addCaller().send("POST /load/unanswered HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: u" + std::to_string(number)
            + "\r\nAuthorization: Token secret\r\nContent-Length: 0\r\n\r\n" + rest);
        if (number % requestsAtOnce == 0) {
            most = std::max(most, mostAddedUntil([this, number] { return m_server.openCount() + countAnswers("HTTP/1.1 503") >= number; }));
        }
    }
    expectWithinHost(most);
    EXPECT_GE(m_server.openCount(), requests / 2);
}

// A trailer of a caller, and the size line of a chunk of a server, were kept whole as long as they came.
TEST_F(HostLimitsTest, isNotOutgrownByMessagesWithoutEnd)
{
    const std::string piece(64 * 1024, '0');
    CallerFake &sender = addCaller();
    sender.send(headOf(1, "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: "));
    CallerFake &reader = addCaller();
    reader.send("GET /load/endless HTTP/1.1\r\nHost: x.example\r\nAuthorization: Token secret\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(m_deployment.runUntil([this] { return m_server.heads().back().target == "/load/endless"; }));
    std::size_t sentByCaller = 0;
    std::size_t sentByServer = 0;
    EXPECT_TRUE(m_deployment.runUntil([&] {
        if (!sender.isClosed() && sender.waitingBytes() == 0) {
            sender.send(piece);
            sentByCaller += piece.size();
        }
        if (m_server.openCount() > 0 && m_server.waitingBytes() == 0) {
            m_server.sendMore(piece);
            sentByServer += piece.size();
        }
        return (sender.isClosed() || sentByCaller >= mostSentBytes) && (reader.isClosed() || sentByServer >= mostSentBytes);
    }));
    expectWithinHost(memoryBytes("VmHWM:") - restBytes);
    EXPECT_EQ(countAnswers("HTTP/1.1 431"), 1U);
    EXPECT_EQ(countAnswers("HTTP/1.1 502"), 1U);
    EXPECT_TRUE(m_deployment.runUntil([this] { return isServed(); }));
}

// A router that was out of descriptors took no new caller for seconds while it said that it was ready, and then refused all for want of one for its calls.
TEST_F(HostLimitsTest, takesNewCallersWhileMoreConnectionsAreKeptThanItMayOpen)
{
    constexpr std::uint64_t connections = 200;
    constexpr rlim_t filesOfTheProcess = 60;
    constexpr std::size_t callers = 400;
    m_deployment.setHostLimits({hostLimits.memoryMegabytes, 200 + connections});
    m_deployment.restartRouter();
    const rlimit limit{connections + filesOfTheProcess, connections + filesOfTheProcess};
    ASSERT_EQ(prlimit(m_deployment.router().pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
    ASSERT_TRUE(m_deployment.runUntil([this] { return isServed(); }));
    const Core::TimePoint deadline = m_deployment.loop().now() + 30s;
    for (std::size_t number = 0; number < callers; ++number) {
        CallerFake &caller = addCaller();
        caller.send("POST /load/a HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: k" + std::to_string(number)
            + "\r\nAuthorization: Token secret\r\nContent-Length: 2\r\n\r\nhi");
        EXPECT_TRUE(m_deployment.runUntil([&] { return caller.received().find("ok") != std::string::npos || m_deployment.loop().now() > deadline; }));
        hangUpClosed();
    }
    EXPECT_EQ(countAnswers("HTTP/1.1 200"), callers);
}

// A soft limit far below what the host's file names left callers without an answer, while the router asked for their connections all the time.
TEST_F(HostLimitsTest, answersAllCallersUnderASmallSoftLimit)
{
    rlimit limit{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
    expectAllAnswered({smallLimit, limit.rlim_max});
    EXPECT_GE(countAnswers("HTTP/1.1 200"), m_callers.size() * 9 / 10);
}

// The same where the system allows no more; connections beyond the limit were closed without an answer.
TEST_F(HostLimitsTest, answersAllCallersUnderASmallHardLimit)
{
    expectAllAnswered({smallLimit, smallLimit});
}

} // namespace

} // namespace Verbena::Test
