#include "relaytest.h"

namespace Verbena::Relay {

namespace {

using Test::answer;
using Test::chunk;
using Test::contains;
using Test::event;
using Test::streamHead;
using Test::unframedHead;
using Test::WorkerScript;

constexpr const char *lastChunk = "\r\n0\r\n\r\n";

enum class ServerState {
    Up, ///< Accepts connections after its answer.
    Ended, ///< Ends together with the connection.
};

class BrokenOffAnswersTest : public Test::RelayTest
{
protected:
    // Starts with two backend servers: the first call is answered with \a unframed, which ends with its connection, and the second one with \a framed.
    void startWithUnframedAnswer(const std::string &unframed, ServerState state = ServerState::Up, const std::string &framed = chunk(event(2)))
    {
        const auto script = [this, unframed, state, framed](const auto &head, const auto &) {
            if (runs() == 1) {
                endServers(state);
                return WorkerScript{unframedHead(head, m_version, m_status) + unframed, WorkerScript::End::Close};
            }
            return WorkerScript{framed.starts_with("whole") ? answer(head, framed) : streamHead(head) + framed + "0\r\n\r\n"};
        };
        start(script);
        addWorker(script);
    }

    // Ends the server that got the first call, if it is to end.
    void endServers(ServerState state)
    {
        for (const auto &worker : m_workers) {
            if (state == ServerState::Ended && !worker->heads().empty()) {
                worker->stopListening();
            }
        }
    }

    std::string m_version = "HTTP/1.1";
    std::string m_status = "200 OK";
};

// A stream without a length that a backend server broke off inside an event reached its caller with a closing chunk.
TEST_F(BrokenOffAnswersTest, doesNotFrameAStreamThatIsClosedInsideAnEventAsComplete)
{
    startWithUnframedAnswer(event(1) + "id: 2\nda");
    const std::string got = call(request("/stream/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_FALSE(contains(got, lastChunk)) << got;
    EXPECT_EQ(runs(), 1U);
}

// The same on a route whose streams another backend server may continue.
TEST_F(BrokenOffAnswersTest, continuesAStreamThatIsClosedInsideAnEvent)
{
    startWithUnframedAnswer(event(1) + "id: 2\nda");
    const std::string got = call(request("/resume/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_TRUE(contains(got, event(2))) << got;
    EXPECT_EQ(got.find("id: 2"), got.rfind("id: 2"));
    EXPECT_EQ(runs(), 2U);
}

TEST_F(BrokenOffAnswersTest, completesAStreamThatIsClosedBetweenEvents)
{
    startWithUnframedAnswer(event(1));
    const std::string got = call(request("/stream/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_TRUE(contains(got, lastChunk)) << got;
}

TEST_F(BrokenOffAnswersTest, completesAResumableStreamThatIsClosedBetweenEvents)
{
    startWithUnframedAnswer(event(1));
    const std::string got = call(request("/resume/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_TRUE(contains(got, lastChunk)) << got;
    EXPECT_EQ(runs(), 1U);
}

// A stream without a length reached its caller as complete although its server had ended between two events.
TEST_F(BrokenOffAnswersTest, doesNotFrameAStreamAsCompleteWhoseServerEndsBetweenEvents)
{
    startWithUnframedAnswer(event(1), ServerState::Ended);
    const std::string got = call(request("/stream/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_FALSE(contains(got, lastChunk)) << got;
}

TEST_F(BrokenOffAnswersTest, continuesAStreamWhoseServerEndsBetweenEvents)
{
    startWithUnframedAnswer(event(1), ServerState::Ended);
    const std::string got = call(request("/resume/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_TRUE(contains(got, event(2))) << got;
    EXPECT_EQ(runs(), 2U);
}

// The part of a plain answer that had arrived when its server ended was passed on as the whole answer.
TEST_F(BrokenOffAnswersTest, resendsAnIdempotentRequestWhosePlainAnswerEndsWithItsServer)
{
    startWithUnframedAnswer("half", ServerState::Ended, "whole");
    const std::string got = call(request("/safe/"), "whole");
    EXPECT_FALSE(contains(got, "half")) << got;
    EXPECT_TRUE(contains(got, "whole")) << got;
}

TEST_F(BrokenOffAnswersTest, reportsARequestAsLostWhosePlainAnswerEndsWithItsServer)
{
    startWithUnframedAnswer("half", ServerState::Ended);
    const std::string got = call(request("/once/"), "\r\n\r\n");
    EXPECT_TRUE(contains(got, "HTTP/1.1 502")) << got;
    EXPECT_FALSE(contains(got, "half"));
    EXPECT_EQ(runs(), 1U);
}

TEST_F(BrokenOffAnswersTest, doesNotPassOnAFailureThatEndsWithItsServer)
{
    m_status = "404 Not Found";
    startWithUnframedAnswer("half", ServerState::Ended);
    const std::string got = call(request("/once/"), "\r\n\r\n");
    EXPECT_TRUE(contains(got, "HTTP/1.1 502")) << got;
}

// Such an answer is too long to be buffered, so that its caller has received a part of it.
TEST_F(BrokenOffAnswersTest, doesNotFrameALongPlainAnswerAsCompleteWhoseServerEnds)
{
    startWithUnframedAnswer(std::string(100'000, 'x'), ServerState::Ended);
    const std::string got = call(request("/once/"), lastChunk);
    EXPECT_TRUE(contains(got, "200 OK"));
    EXPECT_FALSE(contains(got, lastChunk));
}

TEST_F(BrokenOffAnswersTest, passesOnPlainAnswersWithoutALength)
{
    for (const char *version : {"HTTP/1.1", "HTTP/1.0"}) {
        m_version = version;
        m_workers.clear();
        startWithUnframedAnswer("all of it");
        const std::string got = call(request("/once/"), "all of it");
        EXPECT_TRUE(contains(got, "200 OK")) << got;
        EXPECT_TRUE(contains(got, "Content-Length: 9")) << got;
    }
}

// These answers have no body, so nothing of them can be missing.
TEST_F(BrokenOffAnswersTest, passesOnAnswersWithoutABodyWhateverBecomesOfTheirServer)
{
    for (const char *status : {"204 No Content", "304 Not Modified"}) {
        m_status = status;
        m_workers.clear();
        startWithUnframedAnswer("", ServerState::Ended);
        const std::string got = call(request("/once/"), "\r\n\r\n");
        EXPECT_TRUE(got.starts_with("HTTP/1.1 " + m_status.substr(0, 3))) << got;
    }
    m_status = "200 OK";
    m_workers.clear();
    startWithUnframedAnswer("", ServerState::Ended);
    EXPECT_TRUE(contains(call("HEAD /once/ HTTP/1.1\r\nHost: x\r\nId: a1\r\nKey: k\r\n\r\n", "\r\n\r\n"), "200 OK"));
}

// A head that ends anywhere, by a close or a reset, is no answer, and whoever asked hears so.
TEST_F(BrokenOffAnswersTest, neverTakesAHeadThatWasCutShortForAnAnswer)
{
    for (const char *framing : {"Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        const std::string whole = std::string("HTTP/1.1 200 OK\r\nId: a1\r\nReceipt: r\r\n") + framing + "\r\n";
        for (std::size_t size = 0; size < whole.size(); ++size) {
            for (const auto end : {WorkerScript::End::Close, WorkerScript::End::Reset}) {
                m_relay->fleet().servers().replace({}, m_loop->now());
                start([&](const auto &, const auto &) { return WorkerScript{whole.substr(0, size), end}; });
                const std::string got = call(request(size % 2 == 0 ? "/once/" : "/stream/"), "run.");
                EXPECT_TRUE(contains(got, "HTTP/1.1 502")) << got << whole.substr(0, size);
            }
        }
    }
}

// A server in trouble named a status that is none, and its caller got it as the answer.
TEST_F(BrokenOffAnswersTest, givesACallerAStatusThatIsNone)
{
    for (const char *status : {"000 X", "099 X", "600 X", "999 X"}) {
        for (const char *path : {"/once/", "/safe/", "/stream/"}) {
            m_relay->fleet().servers().replace({}, m_loop->now());
            start([status](const auto &head, const auto &) { return WorkerScript{answer(head, "whole", "Receipt: r\r\n", status)}; });
            const std::string got = call(request(path), "\r\n\r\n");
            EXPECT_TRUE(got.starts_with("HTTP/1.1 502")) << status << path << got;
            EXPECT_FALSE(contains(got, "Receipt")) << status << path << got;
        }
    }
}

class RestartedServerTest : public BrokenOffAnswersTest
{
protected:
    // Starts with one backend server that ends each answer with its connection, and answers \a health when it is asked who it is.
    void startWithHealth(const std::string &unframed, const std::string &health)
    {
        Decisions::RelayConfiguration declared = configuration();
        declared.services.resize(1);
        declared.services[0].name = "s";
        declared.services[0].healthPath = "/health";
        m_relay->setConfiguration(declared);
        addWorker([this, unframed, health](const auto &head, const auto &) {
            if (head.target == "/health") {
                m_askedFor = *head.field("Server");
                return WorkerScript{health, health.empty() ? WorkerScript::End::Reset : WorkerScript::End::Keep};
            }
            return WorkerScript{unframedHead(head) + unframed, WorkerScript::End::Close};
        });
    }

    std::string m_askedFor;
};

// A server that was started at the address of the one that had crashed was taken for that one, and the cut answer for a whole one.
TEST_F(RestartedServerTest, loseTheAnswersOfTheOneBefore)
{
    startWithHealth("half", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(contains(call(request("/once/"), "have run."), "HTTP/1.1 502"));
    EXPECT_EQ(m_askedFor, "server-1");
}

TEST_F(RestartedServerTest, cutTheStreamsOfTheOneBefore)
{
    startWithHealth(event(1), "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
    const std::string got = call(request("/stream/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_FALSE(contains(got, lastChunk)) << got;
}

TEST_F(RestartedServerTest, areNotSuspectedWhereTheSameOneAnswers)
{
    for (const char *health : {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"}) {
        m_relay->fleet().servers().replace({}, m_loop->now());
        startWithHealth("whole", health);
        EXPECT_TRUE(contains(call(request("/once/"), "whole"), "HTTP/1.1 200"));
    }
}

TEST_F(RestartedServerTest, areUnknownWhereNobodyAnswers)
{
    startWithHealth("half", "");
    EXPECT_TRUE(contains(call(request("/once/"), "have run."), "HTTP/1.1 502"));
}

} // namespace

} // namespace Verbena::Relay
