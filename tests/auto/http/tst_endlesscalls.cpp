#include <http/bodycollector.h>
#include <http/httpclient.h>
#include <platform/workerfake.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>

namespace Verbena::Http {

namespace {

using namespace std::chrono_literals;
using Test::runUntil;
using Test::WorkerFake;
using Test::WorkerScript;

/// \brief An answer that begins with \a begin and goes on with \a unit without end.
struct EndlessPart
{
    std::string begin;
    std::string unit;
};

const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessPart> endlessParts{
    {okHead + "X: ", "x"},
    {okHead, "X: y\r\n"},
    {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
    {"", "x"},
    {okHead + "Content-Length: 99999999999\r\n\r\n", "x"},
    {okHead + "\r\n", "x"},
    {chunkedHead, "1\r\nx\r\n"},
    {chunkedHead, "4\r\nbody\r\n"},
    {chunkedHead, "0"},
    {chunkedHead + "5;a=", "x"},
    {chunkedHead, "1;a=xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n"},
    {chunkedHead + "0\r\nX: ", "x"},
    {chunkedHead + "0\r\n", "X: y\r\n"},
};

constexpr std::size_t mostSentBytes = 1024 * 1024;

std::string repeated(const std::string &unit, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes) {
        text += unit;
    }
    return text;
}

/// \brief A call to a server that answers with any bytes.
class EndlessCall
{
public:
    explicit EndlessCall(WorkerScript script)
        : m_script(std::move(script))
    {
        m_call.url = "http://" + m_server.address() + "/";
        m_call.deadline = m_loop->now() + 60s;
        m_call.limits = {32 * 1024, 16 * 1024};
    }

    HttpCall &call()
    {
        return m_call;
    }

    // Sends \a piece in each turn of the loop until the call ends, at most mostSentBytes; returns the bytes sent.
    std::size_t sendUntilEnd(const std::string &piece)
    {
        start();
        std::size_t sent = 0;
        EXPECT_TRUE(runUntil(*m_loop, [&] {
            if (!m_result && !m_server.heads().empty()) {
                m_server.sendMore(piece);
                sent += piece.size();
            }
            return m_result.has_value() || sent >= mostSentBytes;
        }));
        return sent;
    }

    const Core::Result<HttpReply> &runToEnd()
    {
        start();
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_result.has_value(); }));
        return *m_result;
    }

    bool isFailed() const
    {
        return m_result.has_value() && !*m_result;
    }

    Core::ErrorCode errorCode() const
    {
        return m_result->error().code;
    }

    bool isClosed()
    {
        return runUntil(*m_loop, [this] { return m_server.openCount() == 0; });
    }

private:
    void start()
    {
        m_client->start(m_call, std::make_shared<BodyCollector>([this](const Core::Result<HttpReply> &reply) { m_result = reply; }));
    }

    std::unique_ptr<EventLoop::Loop> m_loop = std::move(EventLoop::Loop::create().value());
    WorkerScript m_script;
    WorkerFake m_server{*m_loop, [this](const auto &, const auto &) {
                            return m_script;
                        }};
    HttpCall m_call;
    std::optional<Core::Result<HttpReply>> m_result;
    std::unique_ptr<HttpClient> m_client = std::move(HttpClient::create(*m_loop).value());
};

} // namespace

// A server that sent any part of an answer without end was read until the call's deadline, and trailers were kept.
RC_GTEST_PROP(EndlessCallsTest, endWhateverPartHasNoEnd, ())
{
    const EndlessPart part = *rc::gen::elementOf(endlessParts);
    const std::size_t pieceBytes = *rc::gen::inRange<std::size_t>(512, 64 * 1024);
    EndlessCall call({part.begin, WorkerScript::End::Keep});
    RC_ASSERT(call.sendUntilEnd(repeated(part.unit, pieceBytes)) < mostSentBytes);
    RC_ASSERT(call.isFailed());
    RC_ASSERT(call.isClosed());
}

TEST(EndlessCallsTest, tellWhetherTheRequestMayHaveHadAnEffect)
{
    const std::string piece(4096, 'x');
    EndlessCall read({endlessParts[4].begin, WorkerScript::End::Keep});
    read.sendUntilEnd(piece);
    EXPECT_EQ(read.errorCode(), Core::ErrorCode::ResourceExhausted);
    EndlessCall order({endlessParts[4].begin, WorkerScript::End::Keep});
    order.call().method = "POST";
    order.sendUntilEnd(piece);
    EXPECT_EQ(order.errorCode(), Core::ErrorCode::Unknown);
}

TEST(EndlessCallsTest, passProperAnswers)
{
    const std::string extension = ";a=" + std::string(1024, 'x');
    const std::string trailer = "\r\n0\r\nX: " + std::string(2048, 'y') + "\r\n\r\n";
    EndlessCall call({"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + chunkedHead + "5" + extension + "\r\nwhole" + trailer, WorkerScript::End::Keep});
    EXPECT_EQ(call.runToEnd().value().body, "whole");
}

TEST(EndlessCallsTest, passLongStreamsOfSmallChunks)
{
    constexpr std::size_t chunks = 200'000;
    EndlessCall call({chunkedHead + repeated("1\r\nx\r\n", 6 * chunks) + "0\r\n\r\n", WorkerScript::End::Keep});
    call.call().limits.bodyBytes.reset();
    EXPECT_EQ(call.runToEnd().value().body.size(), chunks);
}

} // namespace Verbena::Http
