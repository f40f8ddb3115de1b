#include "relaytest.h"

#include <platform/earlyserver.h>

namespace Verbena::Relay {

namespace {

using Test::chunk;
using Test::contains;
using Test::EarlyEnd;
using Test::EarlyServer;
using Test::event;

// More than what the system holds for a server that does not read.
constexpr std::size_t uploadBytes = 12'000'000;

constexpr const char *answerBegin = "HTTP/1.1 200 OK\r\nId: a1\r\nReceipt: r\r\n";
constexpr const char *lastChunk = "\r\n0\r\n\r\n";

class EarlyAnswersTest : public Test::RelayTest
{
protected:
    // Sends a long body for \a path to a server that gives \a answer and ends as \a end says; returns what the caller gets until its connection ends.
    std::string upload(const std::string &path, const std::string &answer, EarlyEnd end)
    {
        Decisions::RelayConfiguration roomy = configuration();
        roomy.limits.bodyBytes = uploadBytes;
        m_relay->setConfiguration(std::move(roomy));
        EarlyServer server(*m_loop, answer, end);
        m_relay->fleet().servers().replace({}, m_loop->now());
        m_relay->fleet().servers().set({"early" + server.address(), "s", server.address(), "hall", 6, false, {}});
        std::string got = call(request(path, "Connection: close\r\n", std::string(uploadBytes, 'x')), "never");
        m_answered = server.answered();
        return got;
    }

    std::size_t m_answered = 0; ///< Requests that the last server has answered.
};

} // namespace

// A whole answer that waited to be read was lost with the connection to its server, which had not read the whole request.
TEST_F(EarlyAnswersTest, wholeAnswerIsLostWithTheRestOfTheUpload)
{
    for (const EarlyEnd end : {EarlyEnd::Close, EarlyEnd::Reset}) {
        for (const char *path : {"/once/", "/safe/", "/stream/"}) {
            const std::string got = upload(path, std::string(answerBegin) + "Content-Length: 5\r\n\r\nwhole", end);
            EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << path << got;
            EXPECT_TRUE(got.ends_with("whole")) << path << got;
            EXPECT_EQ(m_answered, 1U);
        }
    }
}

TEST_F(EarlyAnswersTest, wholeAnswerInChunksIsLostWithTheRestOfTheUpload)
{
    for (const EarlyEnd end : {EarlyEnd::Close, EarlyEnd::Reset}) {
        for (const char *path : {"/once/", "/safe/", "/stream/"}) {
            const std::string got = upload(path, std::string(answerBegin) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)) + "0\r\n\r\n", end);
            EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << path << got;
            EXPECT_TRUE(contains(got, event(1))) << path << got;
            EXPECT_EQ(m_answered, 1U);
        }
    }
}

TEST_F(EarlyAnswersTest, refusalIsLostWithTheRestOfTheUpload)
{
    for (const EarlyEnd end : {EarlyEnd::Close, EarlyEnd::Reset}) {
        const std::string got = upload("/once/", "HTTP/1.1 413 Too Large\r\nId: a1\r\nReceipt: r\r\nContent-Length: 4\r\n\r\nlong", end);
        EXPECT_TRUE(got.starts_with("HTTP/1.1 413")) << got;
        EXPECT_TRUE(got.ends_with("long")) << got;
    }
}

// More than what is held until an answer is whole, so that the caller reads the rest of it after the break.
TEST_F(EarlyAnswersTest, longAnswerIsCutWhereTheUploadBroke)
{
    const std::string body(100'000, 'b');
    for (const EarlyEnd end : {EarlyEnd::Close, EarlyEnd::Reset}) {
        const std::string got = upload("/once/", std::string(answerBegin) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, end);
        EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << got.substr(0, 200);
        EXPECT_TRUE(got.ends_with(body)) << got.size();
    }
}

// The part of an answer without a length that came before a reset was given to its caller as the whole answer.
TEST_F(EarlyAnswersTest, partBeforeAResetIsTakenForAWholeAnswer)
{
    for (const EarlyEnd end : {EarlyEnd::Close, EarlyEnd::Reset}) {
        for (const char *path : {"/once/", "/safe/"}) {
            const std::string got = upload(path, std::string(answerBegin) + "\r\npart", end);
            EXPECT_TRUE(got.starts_with("HTTP/1.1 502")) << path << got;
            EXPECT_FALSE(contains(got, "part")) << path << got;
        }
        const std::string got = upload("/stream/", std::string(answerBegin) + "\r\n" + event(1), end);
        EXPECT_FALSE(contains(got, lastChunk)) << got;
    }
}

} // namespace Verbena::Relay
