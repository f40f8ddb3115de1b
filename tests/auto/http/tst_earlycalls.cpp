#include <http/bodycollector.h>
#include <http/httpclient.h>
#include <platform/earlyserver.h>
#include <platform/workerfake.h>

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace Verbena::Http {

namespace {

using namespace std::chrono_literals;
using Test::EarlyEnd;
using Test::EarlyServer;
using Test::runUntil;

// More than what the system holds for a server that does not read.
constexpr std::size_t uploadBytes = 12'000'000;

class EarlyCallsTest : public testing::Test
{
protected:
    // Sends a long body to a server that gives \a answer and ends as \a end says.
    Core::Result<HttpReply> upload(const std::string &answer, EarlyEnd end)
    {
        EarlyServer server(*m_loop, answer, end);
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + server.address() + "/";
        call.body = std::string(uploadBytes, 'x');
        call.deadline = m_loop->now() + 10s;
        std::optional<Core::Result<HttpReply>> result;
        m_client->start(call, std::make_shared<BodyCollector>([&result](const Core::Result<HttpReply> &reply) { result = reply; }));
        EXPECT_TRUE(runUntil(*m_loop, [&result] { return result.has_value(); }));
        EXPECT_EQ(server.answered(), 1U);
        return *result;
    }

    std::unique_ptr<EventLoop::Loop> m_loop = std::move(EventLoop::Loop::create().value());
    std::unique_ptr<HttpClient> m_client = std::move(HttpClient::create(*m_loop).value());
};

} // namespace

// A whole answer that waited to be read was lost with the connection to its server, which had not read the whole request.
TEST_F(EarlyCallsTest, wholeAnswerIsLostWithTheRestOfTheUpload)
{
    for (const EarlyEnd end : {EarlyEnd::Close, EarlyEnd::Reset}) {
        for (const char *status : {"200 OK", "413 Too Large", "503 Busy"}) {
            const auto reply = upload(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 5\r\n\r\nwhole", end);
            ASSERT_TRUE(reply) << status << reply.error().message;
            EXPECT_EQ(reply.value().status, std::stoi(status));
            EXPECT_EQ(reply.value().body, "whole");
        }
    }
}

// The part of an answer that came before a reset was reported as the whole answer.
TEST_F(EarlyCallsTest, partBeforeAResetIsTakenForAWholeAnswer)
{
    for (const EarlyEnd end : {EarlyEnd::Close, EarlyEnd::Reset}) {
        for (const char *begin : {"\r\npart", "Content-Length: 9\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
            EXPECT_FALSE(upload(std::string("HTTP/1.1 200 OK\r\n") + begin, end)) << begin;
        }
    }
}

} // namespace Verbena::Http
