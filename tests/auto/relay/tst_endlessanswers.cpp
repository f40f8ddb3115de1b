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

// Many times what an answer that has an end may have in one event.
constexpr std::size_t endlessBytes = 8 * 1024 * 1024;
constexpr std::size_t pieceBytes = 64 * 1024;

class EndlessAnswersTest : public Test::RelayTest
{
protected:
    // Starts with a backend server that answers with \a begin and then with bytes without end, and another one that answers with \a next.
    void startEndless(const std::string &begin, const std::string &next)
    {
        const auto script = [this, begin, next](const auto &head, const auto &) {
            m_isEndless = m_isEndless || runs() == 1;
            return WorkerScript{streamHead(head) + (runs() == 1 ? begin : next)};
        };
        start(script);
        addWorker(script);
    }

    // Sends a request to \a path and \a piece without end to the router until it closes the call or has taken too many. Returns how many bytes it was sent.
    std::size_t sendEndless(const std::string &path, const std::string &piece = chunk(std::string(pieceBytes, 'x')))
    {
        m_caller = caller();
        m_caller->send(request(path));
        std::size_t sent = 0;
        runUntil(*m_loop, [&] {
            for (const auto &worker : m_workers) {
                if (m_isEndless && !worker->heads().empty() && worker->openCount() > 0 && sent < endlessBytes && worker->waitingBytes() == 0) {
                    worker->sendMore(piece);
                    sent += piece.size();
                }
            }
            const bool isOver = runs() > 1 || m_caller->isClosed();
            return isOver || sent >= endlessBytes;
        });
        return sent;
    }

    bool m_isEndless = false;
    std::unique_ptr<Verbena::Test::CallerFake> m_caller;
};

// An event without an end was kept whole in memory until the deadline of its request.
TEST_F(EndlessAnswersTest, resumesAStreamElsewhereWhoseEventHasNoEnd)
{
    startEndless(chunk(event(1)) + chunk("id: 2\ndata: "), chunk(event(2)) + "0\r\n\r\n");
    EXPECT_LT(sendEndless("/resume/"), endlessBytes);
    EXPECT_TRUE(runUntil(*m_loop, [this] { return contains(m_caller->received(), "\r\n0\r\n\r\n") || m_caller->isClosed(); }));
    EXPECT_TRUE(contains(m_caller->received(), event(1)));
    EXPECT_TRUE(contains(m_caller->received(), event(2)));
    EXPECT_EQ(runs(), 2U);
}

// A head without an end must not be kept in memory either.
TEST_F(EndlessAnswersTest, asksAnotherServerWhereAHeadHasNoEnd)
{
    const auto script = [this](const auto &head, const auto &) {
        const std::string endless = "HTTP/1.1 200 OK\r\nPadding: " + std::string(pieceBytes + 1, 'x');
        return WorkerScript{runs() == 1 ? endless : answer(head, "whole")};
    };
    start(script);
    addWorker(script);
    EXPECT_TRUE(contains(call(request("/safe/"), "whole"), "whole"));
    EXPECT_EQ(runs(), 2U);
}

// Where a stream cannot be resumed, the bytes were passed on to the caller for as long.
TEST_F(EndlessAnswersTest, breaksOffAStreamWhoseEventHasNoEnd)
{
    startEndless(chunk("id: 1\ndata: "), "");
    EXPECT_LT(sendEndless("/stream/"), endlessBytes);
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_caller->isClosed(); }));
    EXPECT_FALSE(contains(m_caller->received(), "\r\n0\r\n\r\n"));
    EXPECT_EQ(runs(), 1U);
}

// The lines between chunks were kept whole in memory, and so was a trailer.
TEST_F(EndlessAnswersTest, asksAnotherServerWhereASizeLineHasNoEnd)
{
    startEndless("", chunk("whole") + "0\r\n\r\n");
    EXPECT_LT(sendEndless("/safe/", std::string(pieceBytes, '0')), endlessBytes);
    EXPECT_TRUE(runUntil(*m_loop, [this] { return contains(m_caller->received(), "whole"); }));
    EXPECT_EQ(runs(), 2U);
}

// Events that the caller had already were skipped for as long as they came.
TEST_F(EndlessAnswersTest, resumesAStreamElsewhereThatBringsOldEventsOnly)
{
    startEndless(chunk(event(2)), chunk(event(3)) + "0\r\n\r\n");
    std::string oldEvents;
    while (oldEvents.size() < pieceBytes) {
        oldEvents += chunk(event(1));
    }
    EXPECT_LT(sendEndless("/resume/", oldEvents), endlessBytes);
    EXPECT_TRUE(runUntil(*m_loop, [this] { return contains(m_caller->received(), event(3)); }));
    EXPECT_EQ(runs(), 2U);
}

// A caller that goes on sending beside its answer was read at full speed until that answer came.
TEST_F(EndlessAnswersTest, takesNoMoreThanOneRequestBesideAnAnswer)
{
    start([](const auto &, const auto &) { return WorkerScript{}; });
    m_caller = caller();
    m_caller->send(request("/once/"));
    ASSERT_TRUE(runUntil(*m_loop, [this] { return runs() == 1; }));
    std::size_t sent = 0;
    const Core::TimePoint end = m_loop->now() + std::chrono::milliseconds(500);
    runUntil(*m_loop, [&] {
        if (sent < 4 * endlessBytes && m_caller->waitingBytes() == 0) {
            m_caller->send(std::string(pieceBytes, 'x'));
            sent += pieceBytes;
        }
        return m_loop->now() >= end;
    });
    EXPECT_LT(sent, 4 * endlessBytes);
}

} // namespace

} // namespace Verbena::Relay
