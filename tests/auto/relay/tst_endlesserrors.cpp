#include "relaytest.h"

namespace Verbena::Relay {

namespace {

using Test::answer;
using Test::chunk;
using Test::contains;
using Test::event;
using Test::runUntil;
using Test::streamHead;
using Test::WorkerScript;

constexpr std::size_t statusLength = 3; // Routers word the rest of the line themselves.

// More than a router keeps of an error until it is whole.
constexpr std::size_t longErrorBytes = 300'000;

// Many times that.
constexpr std::size_t endlessBytes = 8 * 1024 * 1024;
constexpr std::size_t pieceBytes = 64 * 1024;

// The most that a router may keep of one answer that is no event of a stream, and what one more read brings.
constexpr double mostKeptBytes = 128 * 1024;

class LongErrorsTest : public Test::RelayTest, public testing::WithParamInterface<const char *>
{
protected:
    static std::string errorHead(const Http::MessageHead &head, const std::string &status, const std::string &framing)
    {
        return "HTTP/1.1 " + status + "\r\nId: " + Verbena::Test::requestId(head) + "\r\n" + framing + "\r\n\r\n";
    }

    // Returns a text of \a bytes that looks like events which the caller has already.
    static std::string textLikeOldEvents(std::size_t bytes)
    {
        std::string text = "id: 9\n\n";
        while (text.size() < bytes) {
            text += "id: 3\nnot an event\n\n";
        }
        text.resize(bytes);
        return text;
    }
};

// Blank lines in a long error split it into events, of which those with an id that had come before were left out.
TEST_P(LongErrorsTest, dropsPartsOfAnErrorOnARouteThatMayBeResumed)
{
    const std::string error = textLikeOldEvents(longErrorBytes);
    start([&error](const auto &head, const auto &) { return WorkerScript{answer(head, error, "", GetParam())}; });
    const auto client = caller();
    client->send(request("/resume/", "Connection: close\r\n"));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed(); }));
    EXPECT_TRUE(client->received().starts_with("HTTP/1.1 " + std::string(GetParam()).substr(0, statusLength)));
    EXPECT_TRUE(contains(client->received(), "Content-Length: " + std::to_string(longErrorBytes)));
    EXPECT_TRUE(client->received().ends_with("\r\n\r\n" + error));
}

// A long error that broke off was joined with the stream of the next server.
TEST_P(LongErrorsTest, joinsAnErrorThatBreaksOffWithAStream)
{
    const auto script = [this](const auto &head, const auto &) {
        const std::string error = errorHead(head, GetParam(), "Transfer-Encoding: chunked") + chunk(std::string(longErrorBytes, 'x'));
        return runs() == 1 ? WorkerScript{error, WorkerScript::End::Close} : WorkerScript{streamHead(head) + chunk(event(1)) + "0\r\n\r\n"};
    };
    start(script);
    addWorker(script);
    const auto client = caller();
    client->send(request("/resume/"));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return client->isClosed() || contains(client->received(), "\r\n0\r\n\r\n"); }));
    EXPECT_FALSE(contains(client->received(), "\r\n0\r\n\r\n"));
    EXPECT_FALSE(contains(client->received(), event(1)));
    EXPECT_EQ(runs(), 1U);
}

// An error without an end was kept whole in memory until the deadline of its request.
TEST_P(LongErrorsTest, keepsAnErrorWithoutEndInMemory)
{
    start([](const auto &head, const auto &) { return WorkerScript{errorHead(head, GetParam(), "Transfer-Encoding: chunked")}; });
    const auto client = caller();
    client->send(request("/resume/"));
    std::size_t sent = 0;
    double mostKept = 0;
    EXPECT_TRUE(runUntil(*m_loop, [&] {
        if (runs() == 1 && sent < endlessBytes && m_workers[0]->waitingBytes() == 0) {
            m_workers[0]->sendMore(chunk(std::string(pieceBytes, 'x')));
            sent += pieceBytes;
        }
        mostKept = std::max(mostKept, metric("memory_held_partial_answers_bytes"));
        return sent >= endlessBytes && (client->received().size() >= endlessBytes || mostKept > mostKeptBytes);
    }));
    EXPECT_LE(mostKept, mostKeptBytes);
    EXPECT_GE(client->received().size(), endlessBytes);
}

INSTANTIATE_TEST_SUITE_P(Statuses, LongErrorsTest, testing::Values("500 Internal Server Error", "599 Unknown", "404 Not Found", "302 Found"));

} // namespace

} // namespace Verbena::Relay
