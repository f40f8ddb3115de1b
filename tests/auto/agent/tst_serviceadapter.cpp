#include <agent/serviceadapter.h>
#include <platform/workerfake.h>

#include <gtest/gtest.h>

#include <optional>

namespace Verbena::Agent {

namespace {

using namespace std::chrono_literals;
using Test::runUntil;
using Test::WorkerFake;
using Test::WorkerScript;

// Records how runs end.
class ListenerFake : public BackendListener
{
public:
    void receiveOutput(const Decisions::RequestRef &, std::string_view text, std::uint32_t) override
    {
        output += text;
    }

    void finishRun(const Decisions::RequestRef &, const BackendEnd &runEnd) override
    {
        end = runEnd;
    }

    void receiveReport(const BackendReport &) override
    {
    }

    void receiveCacheEvent(const Decisions::CacheEvent &) override
    {
    }

    void incarnationChanged(std::uint64_t) override
    {
    }

    void availabilityChanged(bool, const Core::Error &) override
    {
    }

    std::string output;
    std::optional<BackendEnd> end;
};

class ServiceAdapterTest : public testing::Test
{
protected:
    ServiceAdapterTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_server(*m_loop, [this](const auto &head, const auto &) { return answer(head.target); })
    {
        BackendWatchOptions options;
        options.url = "http://" + m_server.address();
        m_adapter = std::move(ServiceAdapter::create(*m_loop, options, m_listener).value());
    }

    // Runs one call, which the server answers with \a bytes before it closes the connection.
    BackendEnd::Kind run(const std::string &bytes)
    {
        m_bytes = bytes;
        verbena::wire::Dispatch dispatch;
        dispatch.set_path("/call");
        m_adapter->startRun({}, dispatch, m_loop->now() + 10s);
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_listener.end.has_value(); }));
        return m_listener.end->kind;
    }

    WorkerScript answer(const std::string &target)
    {
        if (target != "/call") {
            return {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
        }
        if (m_isEnding) {
            m_server.stopListening();
        }
        return {m_bytes, WorkerScript::End::Close};
    }

    std::string m_bytes;
    bool m_isEnding = false; ///< Whether the server ends together with the connection of the call.
    std::unique_ptr<EventLoop::Loop> m_loop;
    ListenerFake m_listener;
    WorkerFake m_server;
    std::unique_ptr<BackendAdapter> m_adapter;
};

// The part of an answer without a length that had arrived when its server ended was passed on as the whole answer.
TEST_F(ServiceAdapterTest, losesACallWhoseAnswerEndsWithItsServer)
{
    m_isEnding = true;
    EXPECT_EQ(run("HTTP/1.1 200 OK\r\n\r\nhalf"), BackendEnd::Kind::Lost);
}

TEST_F(ServiceAdapterTest, completesACallWithoutALengthWhoseServerStaysUp)
{
    EXPECT_EQ(run("HTTP/1.1 200 OK\r\n\r\nwhole"), BackendEnd::Kind::Complete);
    EXPECT_EQ(m_listener.output, "whole");
}

TEST_F(ServiceAdapterTest, completesACallWithALengthWhoseServerEnds)
{
    m_isEnding = true;
    EXPECT_EQ(run("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"), BackendEnd::Kind::Complete);
}

TEST_F(ServiceAdapterTest, completesACallInChunksWhoseServerEnds)
{
    m_isEnding = true;
    EXPECT_EQ(run("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"), BackendEnd::Kind::Complete);
}

// A server that stopped inside the head of its answer had its callers get an empty one that looked whole.
TEST_F(ServiceAdapterTest, losesACallWhoseAnswerEndsInsideItsHead)
{
    for (const char *framing : {"Content-Length: 0\r\n", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        const std::string whole = std::string("HTTP/1.1 200 OK\r\nContent-Type: a\r\n") + framing + "\r\n";
        for (std::size_t size = 0; size < whole.size(); ++size) {
            m_listener.end.reset();
            EXPECT_NE(run(whole.substr(0, size)), BackendEnd::Kind::Complete) << whole.substr(0, size);
        }
    }
}

} // namespace

} // namespace Verbena::Agent
