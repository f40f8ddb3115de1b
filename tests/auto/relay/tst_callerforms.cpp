#include "relaytest.h"

#include <algorithm>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::answer;
using Test::CallerFake;
using Test::contains;
using Test::RelayTest;
using Test::runUntil;
using Test::WorkerScript;

// More than what the system holds for a caller that does not read, on its side and on the router's.
constexpr std::size_t longAnswerBytes = 12'000'000;

// More than what the system holds for such a caller, and less than what is held before the backend server has to wait.
constexpr std::size_t answerEndBytes = 300'000;

// What the system holds for such a caller, and its host does not.
constexpr std::size_t heldBytes = 50'000;

// Longer than the time without an acknowledgement after which a caller's host counts as gone, and shorter than the idle timeout.
constexpr std::chrono::milliseconds readingPause{6000};

// Habits of callers that HTTP allows, and what becomes of their requests.
class CallerFormsTest : public RelayTest
{
protected:
    void startEcho()
    {
        start([](const auto &head, const auto &body) { return WorkerScript{answer(head, "echo " + body)}; });
    }

    void startEchoWithIdleTimeout(std::chrono::milliseconds timeout)
    {
        startEcho();
        auto declared = configuration(2);
        declared.limits.idleTimeout = timeout;
        EXPECT_TRUE(m_relay->setConfiguration(std::move(declared)));
    }

    // Starts a backend server whose answers have as many bytes as the request asks for.
    void startAnswering(std::chrono::milliseconds idleTimeout)
    {
        start([](const auto &head, const auto &body) { return WorkerScript{answer(head, std::string(std::stoul(body), 'x'))}; });
        auto declared = configuration(2);
        declared.limits.idleTimeout = idleTimeout;
        EXPECT_TRUE(m_relay->setConfiguration(std::move(declared)));
    }

    // Returns a caller that reads nothing of the answer that it has asked for.
    std::unique_ptr<CallerFake> pausingCaller(std::size_t bytes, const std::string &fields = "")
    {
        auto client = CallerFake::createSlow(*m_loop, m_relay->endpoint());
        const std::size_t before = runs();
        client->send(request("/safe/", fields, std::to_string(bytes)));
        EXPECT_TRUE(runUntil(*m_loop, [&] { return runs() == before + 1; }));
        return client;
    }

    static std::size_t answerBytes(const CallerFake &client)
    {
        return static_cast<std::size_t>(std::count(client.received().begin(), client.received().end(), 'x'));
    }

    static std::string expecting(const std::string &version)
    {
        return "POST /safe/ " + version + "\r\nHost: x\r\nId: a1\r\nKey: k\r\nExpect: 100-Continue\r\nContent-Length: 4\r\n\r\n";
    }
};

} // namespace

// The body never came, as its caller waited to be asked for it.
TEST_F(CallerFormsTest, callerWaitsInVainToBeAskedForItsBody)
{
    startEcho();
    const auto client = caller();
    client->send(expecting("HTTP/1.1"));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return contains(client->received(), "\r\n\r\n"); }));
    EXPECT_EQ(client->received(), "HTTP/1.1 100 Continue\r\n\r\n");
    EXPECT_EQ(runs(), 0U);
    client->send("body");
    ASSERT_TRUE(runUntil(*m_loop, [&] { return contains(client->received(), "echo body"); })) << client->received();
    EXPECT_EQ(m_workers[0]->heads().at(0).field("Expect"), nullptr);
}

TEST_F(CallerFormsTest, asksForABodyOnceForEachRequest)
{
    startEcho();
    const auto client = caller();
    for (std::size_t number = 1; number <= 2; ++number) {
        client->send(expecting("HTTP/1.1"));
        ASSERT_TRUE(runUntil(*m_loop, [&] { return client->received().ends_with("100 Continue\r\n\r\n"); })) << client->received();
        client->send("bo");
        runFor(20ms);
        client->send("dy");
        ASSERT_TRUE(runUntil(*m_loop, [&] { return client->received().ends_with("echo body"); })) << client->received();
        EXPECT_EQ(runs(), number);
    }
}

TEST_F(CallerFormsTest, asksNobodyWhoDoesNotWait)
{
    startEcho();
    EXPECT_TRUE(call(expecting("HTTP/1.1") + "body", "echo body").starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(call(expecting("HTTP/1.0") + "body", "echo body").starts_with("HTTP/1.1 200"));
}

TEST_F(CallerFormsTest, asksForNoBodyThatIsTooLong)
{
    startEcho();
    const std::string head = "POST /safe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\nKey: k\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n";
    EXPECT_TRUE(call(head, "\r\n\r\n").starts_with("HTTP/1.1 413"));
}

// Callers sent long bodies for which they could only be refused.
TEST_F(CallerFormsTest, callerWithAnUnknownKeyIsAskedForItsBody)
{
    startEcho();
    const std::string line = "POST /safe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n";
    const std::string rest = "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    const std::string denied = call(line + "Key: none\r\n" + rest, "\r\n\r\n");
    EXPECT_TRUE(denied.starts_with("HTTP/1.1 401")) << denied;
    EXPECT_TRUE(contains(denied, "\r\nConnection: close\r\n")) << denied;
    EXPECT_TRUE(call("POST /none HTTP/1.1\r\nHost: x\r\nId: a1\r\nKey: k\r\n" + rest, "\r\n\r\n").starts_with("HTTP/1.1 404"));
    EXPECT_EQ(runs(), 0U);
}

// What follows nevertheless is no request of its own.
TEST_F(CallerFormsTest, answersOnceACallerThatSendsABodyAfterItsRefusal)
{
    startEcho();
    const auto client = caller();
    const std::string smuggled = request("/safe/", "", "body");
    const std::string length = std::to_string(smuggled.size());
    client->send("POST /safe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\nKey: none\r\nExpect: 100-continue\r\nContent-Length: " + length + "\r\n\r\n");
    ASSERT_TRUE(runUntil(*m_loop, [&] { return contains(client->received(), "HTTP/1.1 401"); }));
    client->send(smuggled);
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed(); }));
    EXPECT_FALSE(contains(client->received(), "HTTP/1.1 200")) << client->received();
    EXPECT_EQ(runs(), 0U);
}

TEST_F(CallerFormsTest, requestInAbsoluteFormIsRefused)
{
    startEcho();
    const auto client = caller();
    std::size_t asked = 0;
    for (const char *host : {"x", "other"}) {
        client->send("GET http://X:8782/safe/a?b=c HTTP/1.1\r\nHost: " + std::string(host) + "\r\nId: a1\r\nKey: k\r\n\r\n");
        ++asked;
        ASSERT_TRUE(runUntil(*m_loop, [&] { return runs() == asked && client->received().ends_with("echo "); })) << client->received();
        EXPECT_EQ(m_workers[0]->heads().back().target, "/safe/a?b=c");
    }
}

TEST_F(CallerFormsTest, refusesAbsoluteFormsThatNameNoHost)
{
    startEcho();
    for (const char *target : {"http://", "http:///safe/", "http://user@x/safe/", "https://x/safe/", "ftp://x/safe/"}) {
        const std::string got = call("GET " + std::string(target) + " HTTP/1.1\r\nHost: x\r\nId: a1\r\nKey: k\r\n\r\n", "\r\n\r\n");
        EXPECT_TRUE(got.starts_with("HTTP/1.1 4")) << target << ": " << got;
    }
    EXPECT_EQ(runs(), 0U);
}

TEST_F(CallerFormsTest, requestAfterAnEmptyLineIsRefused)
{
    startEcho();
    const auto client = caller();
    for (std::size_t number = 1; number <= 2; ++number) {
        client->send("\r");
        runFor(10ms);
        client->send("\n" + request("/safe/", "", "body"));
        ASSERT_TRUE(runUntil(*m_loop, [&] { return runs() == number && client->received().ends_with("echo body"); })) << client->received();
    }
}

// Older clients send an empty line behind a body; the connection was closed after the answer.
TEST_F(CallerFormsTest, emptyLineBehindABodyClosesTheConnection)
{
    startEcho();
    const auto client = caller();
    for (std::size_t number = 1; number <= 2; ++number) {
        client->send(request("/safe/", "", "body") + "\r\n");
        ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed() || (runs() == number && client->received().ends_with("echo body")); }));
        EXPECT_FALSE(contains(client->received(), "Connection: close")) << client->received();
    }
}

TEST_F(CallerFormsTest, refusesEmptyLinesWithoutEnd)
{
    startEcho();
    const std::string got = call("\r\n\r\n\r\n\r\n\r\n\r\n" + request("/safe/", "", "body"), "\r\n\r\n");
    EXPECT_TRUE(got.starts_with("HTTP/1.1 400")) << got;
    EXPECT_EQ(runs(), 0U);
}

// A connection on which only empty lines have come is an idle one, and is closed without an answer to a request that never came.
TEST_F(CallerFormsTest, takesEmptyLinesForNoRequest)
{
    startEchoWithIdleTimeout(1500ms);
    const auto client = caller();
    client->send("\r\n\r\n");
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed(); }));
    EXPECT_EQ(client->received(), "");
}

// Callers sent their next request while their connection was being closed, as nothing had told them for how long it lives.
TEST_F(CallerFormsTest, idleTimeoutIsAnnouncedByNothing)
{
    startEchoWithIdleTimeout(2500ms);
    const auto client = caller();
    client->send(request("/safe/", "", "body"));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->received().ends_with("echo body"); }));
    EXPECT_TRUE(contains(client->received(), "\r\nConnection: keep-alive\r\nKeep-Alive: timeout=2\r\n")) << client->received();
    // A lower limit is in force for answers after it.
    auto lower = configuration(3);
    lower.limits.idleTimeout = 1ms;
    EXPECT_TRUE(m_relay->setConfiguration(std::move(lower)));
    runFor(2s);
    EXPECT_FALSE(client->isClosed());
    client->send(request("/safe/", "", "next"));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed(); }));
    EXPECT_TRUE(client->received().ends_with("echo next")) << client->received();
    EXPECT_TRUE(contains(client->received(), "\r\nConnection: close\r\n")) << client->received();
}

// An answer was cut after four seconds in which its caller read nothing, though the caller's host was there all the time.
TEST_F(CallerFormsTest, answerIsCutWhileItsCallerPauses)
{
    startAnswering(15s);
    const auto client = pausingCaller(longAnswerBytes);
    runFor(readingPause);
    client->read();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed() || client->received().size() > longAnswerBytes; }));
    EXPECT_EQ(answerBytes(*client), longAnswerBytes);
}

// The end of an answer that closes its connection was cut after a second and a half, though its caller had ten times as long to read it.
TEST_F(CallerFormsTest, closingAnswerIsCutWhileItsCallerPauses)
{
    startAnswering(15s);
    const auto client = pausingCaller(answerEndBytes, "Connection: close\r\n");
    runFor(readingPause);
    client->read();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed(); }));
    EXPECT_EQ(answerBytes(*client), answerEndBytes);
}

// The idle timeout began when the system held the whole answer, so that a caller that had just read it met a closing connection.
TEST_F(CallerFormsTest, connectionCountsAsIdleWhileItsCallerReads)
{
    startAnswering(2500ms);
    const auto client = pausingCaller(answerEndBytes);
    runFor(1500ms);
    client->read();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed() || client->received().size() > answerEndBytes; }));
    EXPECT_TRUE(contains(client->received(), "\r\nKeep-Alive: timeout=2\r\n"));
    runFor(1800ms);
    client->send(request("/safe/", "", "1"));
    EXPECT_TRUE(runUntil(*m_loop, [&] { return client->isClosed() || runs() == 2; }));
    EXPECT_EQ(runs(), 2U);
}

// A caller that never reads again holds neither its connection nor memory for ever.
TEST_F(CallerFormsTest, endsAnswersThatNobodyReads)
{
    startAnswering(1500ms);
    for (const std::size_t bytes : {longAnswerBytes, answerEndBytes}) {
        for (const char *fields : {"", "Connection: close\r\n"}) {
            const std::size_t openBefore = Http::TcpChannel::openCount();
            const auto client = pausingCaller(bytes, fields);
            const Core::TimePoint begin = m_loop->now();
            // What is left is the caller's own end.
            EXPECT_TRUE(runUntil(*m_loop, [openBefore] { return Http::TcpChannel::openCount() == openBefore + 1; }));
            EXPECT_LT(m_loop->now() - begin, 5s) << bytes << ' ' << fields;
            EXPECT_EQ(static_cast<ConnectionOwner &>(*m_relay).memory().budget().held(), 0U) << bytes << ' ' << fields;
        }
    }
}

// What only the system holds for callers that do not read must not keep others out.
TEST_F(CallerFormsTest, makesRoomWhileCallersHaveNotReadTheirAnswers)
{
    RelaySettings limited = settings();
    limited.descriptors = 32;
    m_relay = std::move(RelayTask::create(*m_loop, limited, m_protocol).value());
    ASSERT_TRUE(m_relay->listen());
    startAnswering(15s);
    std::vector<std::unique_ptr<CallerFake>> callers;
    for (int number = 0; number < 16; ++number) {
        callers.push_back(pausingCaller(heldBytes));
        runFor(20ms);
    }
    EXPECT_EQ(runs(), callers.size());
}

} // namespace Verbena::Relay
