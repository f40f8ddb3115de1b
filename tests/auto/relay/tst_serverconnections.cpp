#include "relaytest.h"

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::answer;
using Test::chunk;
using Test::contains;
using Test::event;
using Test::RelayTest;
using Test::runUntil;
using Test::streamHead;
using Test::unframedHead;
using Test::WorkerScript;

const std::string kept = "Receipt: r\r\nKeep-Alive: timeout=5\r\n";

class ServerConnectionsTest : public RelayTest
{
protected:
    ServerConnectionsTest()
    {
        RelaySettings keeping = settings();
        keeping.keepsConnections = true;
        m_relay = std::move(RelayTask::create(*m_loop, keeping, m_protocol).value());
        EXPECT_TRUE(m_relay->listen());
    }

    std::size_t idleCount() const
    {
        return m_relay->serverConnections()->count();
    }

    std::uint64_t counter(const std::string &name) const
    {
        const std::string text = m_relay->metrics().renderPrometheus();
        const std::string line = "\nverbena_" + name + ' ';
        const std::size_t begin = text.find(line);
        return begin == std::string::npos ? 0 : std::stoull(text.substr(begin + line.size()));
    }

    std::uint64_t opened() const
    {
        return counter("server_connections_opened_total");
    }

    // Sends a request with an id of its own and returns the answer.
    std::string ask(const std::string &path, const std::string &id, const std::string &end)
    {
        return call("POST " + path + " HTTP/1.1\r\nHost: x\r\nId: " + id + "\r\nKey: k\r\nContent-Length: 0\r\n\r\n", end);
    }

    // Answers the second request on a kept connection with an answer that has the field `id`, and expects that another server's is given.
    void expectNotGiven(const std::string &id)
    {
        const std::string late = "HTTP/1.1 200 OK\r\n" + id + "Receipt: r\r\nContent-Length: 6\r\n\r\nsecret";
        const auto script = [this, late](const auto &head, const auto &) {
            return WorkerScript{runs() == 2 ? late : answer(head, "whole", kept)};
        };
        start(script);
        ask("/safe/", "1", "whole");
        ASSERT_EQ(idleCount(), 1U);
        const auto client = caller();
        client->send(request("/safe/"));
        ASSERT_TRUE(runUntil(*m_loop, [&] { return runs() == 2; }));
        addWorker(script);
        ASSERT_TRUE(runUntil(*m_loop, [&] { return contains(client->received(), "\r\n\r\n"); }));
        EXPECT_TRUE(contains(client->received(), "whole")) << client->received();
        EXPECT_EQ(runs(), 3U);
        EXPECT_EQ(counter("server_connections_reused_total"), 1U);
    }
};

TEST_F(ServerConnectionsTest, sendsRepeatableCallsOverOneConnection)
{
    start([](const auto &head, const auto &) {
        return WorkerScript{
            head.target == "/resume/" ? streamHead(head, "Keep-Alive: timeout=5\r\n") + chunk(event(1)) + "0\r\n\r\n" : answer(head, "ok", kept)};
    });
    for (const char *id : {"1", "2", "3"}) {
        EXPECT_TRUE(contains(ask("/safe/", id, "ok"), "200 OK"));
        EXPECT_TRUE(contains(ask("/resume/", id, "\r\n0\r\n\r\n"), event(1)));
    }
    EXPECT_EQ(runs(), 6U);
    EXPECT_EQ(m_workers[0]->openCount(), 1U);
    EXPECT_EQ(opened(), 1U);
    EXPECT_EQ(counter("server_connections_reused_total"), 5U);
    EXPECT_EQ(m_workers[0]->heads().at(0).field("Connection"), nullptr);
}

// An idle connection was counted at the room of its last request, which it had given back.
TEST_F(ServerConnectionsTest, countsAnIdleConnectionAtTheRoomThatItKeeps)
{
    start([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok", kept)}; });
    for (const char *id : {"1", "2"}) {
        ask("/safe/", id, "ok");
        ASSERT_EQ(idleCount(), 1U);
        EXPECT_TRUE(runUntil(*m_loop, [&] { return counter("memory_held_unsent_to_servers_bytes") == std::string().capacity(); }));
    }
    EXPECT_EQ(counter("server_connections_reused_total"), 1U);
}

// The loss of a request that must not run twice cannot be mended, and a kept connection is lost more often than a new one.
TEST_F(ServerConnectionsTest, opensAConnectionForEachCallThatMayNotBeRepeated)
{
    start([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok", kept)}; });
    ask("/safe/", "1", "ok");
    EXPECT_TRUE(contains(ask("/once/", "2", "ok"), "200 OK"));
    EXPECT_TRUE(contains(ask("/stream/", "3", "ok"), "200 OK"));
    EXPECT_EQ(opened(), 3U);
    EXPECT_EQ(*m_workers[0]->heads().at(1).field("Connection"), "close");
    EXPECT_EQ(idleCount(), 1U);
}

TEST_F(ServerConnectionsTest, keepsNoConnectionThatItsServerDoesNotKeep)
{
    std::string fields;
    std::string status = "200 OK";
    start([&](const auto &head, const auto &) {
        return fields == "unframed" ? WorkerScript{unframedHead(head) + "ok", WorkerScript::End::Close} : WorkerScript{answer(head, "ok", fields, status)};
    });
    for (const char *each : {"Receipt: r\r\nConnection: close\r\n", "Receipt: r\r\nKeep-Alive: timeout=0\r\n", "unframed"}) {
        fields = each;
        EXPECT_TRUE(contains(ask("/safe/", "1", "ok"), "200 OK")) << each;
        EXPECT_EQ(idleCount(), 0U) << each;
    }
    fields = kept;
    status = "500 Error";
    ask("/safe/", "1", "\r\n\r\n");
    EXPECT_EQ(idleCount(), 0U);
}

TEST_F(ServerConnectionsTest, closesAnIdleConnectionInTime)
{
    start([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok", "Receipt: r\r\nKeep-Alive: timeout=1\r\n")}; });
    const Core::TimePoint before = m_loop->now();
    ask("/safe/", "1", "ok");
    ASSERT_TRUE(runUntil(*m_loop, [&] { return m_workers[0]->openCount() == 0; }));
    EXPECT_GT(m_loop->now(), before + 500ms);
    EXPECT_EQ(counter("server_connections_dropped_expired_total"), 1U);
}

// Bytes after an answer would be taken for the beginning of the next one.
TEST_F(ServerConnectionsTest, closesAConnectionWithBytesAfterAnAnswer)
{
    start([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok", kept) + "more"}; });
    ask("/safe/", "1", "ok");
    EXPECT_EQ(idleCount(), 0U);
    EXPECT_TRUE(contains(ask("/safe/", "2", "ok"), "200 OK"));
    EXPECT_EQ(opened(), 2U);
}

// A server sent a second answer to a request when the connection was idle.
TEST_F(ServerConnectionsTest, closesAnIdleConnectionOnWhichALateAnswerArrives)
{
    std::string last;
    start([&](const auto &head, const auto &) {
        last = answer(head, "late", kept);
        return WorkerScript{answer(head, "ok", kept)};
    });
    ask("/safe/", "1", "ok");
    ASSERT_EQ(idleCount(), 1U);
    m_workers[0]->sendMore(last);
    ASSERT_TRUE(runUntil(*m_loop, [&] { return idleCount() == 0; }));
    EXPECT_EQ(counter("server_connections_dropped_stray_bytes_total"), 1U);
    EXPECT_FALSE(contains(ask("/safe/", "2", "ok"), "late"));
}

// A server sent a second answer where the answer to the next request was expected, with the id of the earlier request or with none.
TEST_F(ServerConnectionsTest, givesNoAnswerOfAnEarlierRequestToACaller)
{
    expectNotGiven("Id: 1\r\n");
}

TEST_F(ServerConnectionsTest, givesNoAnswerWithoutAnIdToACaller)
{
    expectNotGiven("");
}

// The server closes the idle connection just before the next request is sent: nothing was received, so the request costs no attempt.
TEST_F(ServerConnectionsTest, sendsOnANewConnectionIfTheKeptOneWasClosed)
{
    start([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok", kept), WorkerScript::End::Close}; });
    for (int number = 1; number <= 20; ++number) {
        EXPECT_TRUE(contains(ask("/safe/", std::to_string(number), "ok"), "200 OK"));
    }
    EXPECT_EQ(runs(), 20U);
    EXPECT_EQ(counter("calls_failed_lost_total"), 0U);
    EXPECT_EQ(counter("resends_total"), 0U);
}

// A server that read a request on a kept connection and closed it may have run it: the request is sent again, and the budget pays.
TEST_F(ServerConnectionsTest, countsARequestThatAKeptConnectionLost)
{
    const auto script = [this](const auto &head, const auto &) {
        return runs() == 2 ? WorkerScript{"", WorkerScript::End::Close} : WorkerScript{answer(head, "ok", kept)};
    };
    start(script);
    ask("/safe/", "1", "ok");
    const auto client = caller();
    client->send(request("/safe/"));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return runs() == 2; }));
    addWorker(script);
    ASSERT_TRUE(runUntil(*m_loop, [&] { return contains(client->received(), "\r\n\r\nok"); })) << client->received();
    EXPECT_EQ(counter("calls_failed_lost_total"), 1U);
    EXPECT_EQ(counter("resends_total"), 1U);
    EXPECT_EQ(opened(), 2U);
}

// A server restarted at its address, and one said that it leaves: what was kept is not theirs any more.
TEST_F(ServerConnectionsTest, dropsTheConnectionsOfAServerThatRestartedOrLeaves)
{
    std::string fields = kept;
    start([&](const auto &head, const auto &) { return WorkerScript{answer(head, "ok", fields)}; });
    ask("/safe/", "1", "ok");
    Decisions::RegisteredServer restarted{"server-1", "s", m_workers[0]->address(), "hall", 6, false, {}, 7};
    m_relay->fleet().servers().set(restarted);
    EXPECT_TRUE(contains(ask("/safe/", "2", "ok"), "200 OK"));
    EXPECT_EQ(counter("server_connections_dropped_changed_total"), 1U);
    EXPECT_EQ(opened(), 2U);
    fields += "Leaving: 1\r\n";
    ask("/safe/", "3", "ok");
    EXPECT_EQ(idleCount(), 0U);
}

TEST_F(ServerConnectionsTest, dropsTheConnectionsOfAServerThatRefuses)
{
    start([this](const auto &head, const auto &) {
        return WorkerScript{runs() == 2 ? answer(head, "", "Not-Run: 1\r\n", "503 Full") : answer(head, "ok", kept)};
    });
    ask("/safe/", "1", "ok");
    EXPECT_TRUE(contains(ask("/once/", "2", "\r\n\r\n"), "503"));
    EXPECT_EQ(idleCount(), 0U);
    EXPECT_EQ(counter("server_connections_dropped_call_failed_total"), 1U);
}

} // namespace

} // namespace Verbena::Relay
