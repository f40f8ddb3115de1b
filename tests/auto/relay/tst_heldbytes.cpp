#include "relaytest.h"

#include <relay/memoryguard.h>

#include <algorithm>
#include <array>

#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Relay {

namespace {

using Test::answer;
using Test::CallerFake;
using Test::chunk;
using Test::contains;
using Test::event;
using Test::runUntil;
using Test::streamHead;
using Test::WorkerFake;
using Test::WorkerScript;

constexpr std::uint64_t processBytes = 4'000'000;
constexpr std::uint64_t budgetBytes = processBytes / 4;

class IgnoringObserver : public Http::ChannelObserver
{
public:
    void receiveBytes(std::string_view) override
    {
    }

    void receiveEnd(Http::ChannelEnd) override
    {
    }
};

class HeldBytesTest : public Test::RelayTest
{
protected:
    HeldBytesTest()
    {
        RelaySettings small = settings();
        small.memoryBytes = processBytes;
        m_relay = std::move(RelayTask::create(*m_loop, small, m_protocol).value());
        EXPECT_TRUE(m_relay->listen());
    }

    void startWithBodies(WorkerFake::Answer script)
    {
        Decisions::RelayConfiguration declared = configuration();
        declared.limits.bodyBytes = 10 * budgetBytes;
        m_relay->setConfiguration(declared);
        addWorker(std::move(script));
    }

    // Returns the head of a request whose body of \a bytes comes later.
    static std::string headOf(const std::string &path, std::uint64_t bytes)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nId: a1\r\nKey: k\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
    }
};

// Bodies were read whatever else was held; a body that does not fit is refused before it is read, and its caller hears so.
TEST_F(HeldBytesTest, refusesABodyThatDoesNotFitBeforeItIsRead)
{
    startWithBodies([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok")}; });
    const std::string got = call(headOf("/once/", budgetBytes + 1), "has not run.");
    EXPECT_TRUE(contains(got, "HTTP/1.1 503"));
    EXPECT_TRUE(contains(got, "Id: a1"));
    EXPECT_EQ(runs(), 0U);
    EXPECT_EQ(metric("requests_refused_for_memory_total"), 1);
    EXPECT_TRUE(contains(call(request("/once/", "", std::string(budgetBytes / 4, 'x')), "ok"), "200 OK"));
}

TEST_F(HeldBytesTest, refusesALargeBodyWhileOthersAreReadAndTakesSmallOnes)
{
    constexpr std::size_t largeBodyBytes = budgetBytes * 3 / 4;
    startWithBodies([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok")}; });
    const auto first = caller();
    first->send(headOf("/once/", largeBodyBytes));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_request_bodies_bytes") == largeBodyBytes; }));
    EXPECT_TRUE(contains(call(headOf("/safe/", budgetBytes / 8), "has not run."), "HTTP/1.1 503"));
    EXPECT_TRUE(contains(call(request("/safe/", "", "small"), "ok"), "200 OK"));
    first->send(std::string(largeBodyBytes, 'x'));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return contains(first->received(), "ok"); }));
    EXPECT_EQ(runs(), 2U);
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_request_bodies_bytes") == 0; }));
}

// A body was refused that would have fitted a moment later.
TEST_F(HeldBytesTest, readsABodyOnceThereIsRoomForIt)
{
    constexpr std::size_t largeBodyBytes = budgetBytes * 3 / 4;
    startWithBodies([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok")}; });
    const auto first = caller();
    const auto second = caller();
    first->send(headOf("/once/", largeBodyBytes));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_request_bodies_bytes") == largeBodyBytes; }));
    second->send(request("/once/", "", std::string(largeBodyBytes, 'y')));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("requests_delayed_for_memory_total") == 1; }));
    first->send(std::string(largeBodyBytes, 'x'));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return contains(first->received(), "ok") && contains(second->received(), "ok"); }));
    EXPECT_EQ(m_workers[0]->bodies()[1], std::string(largeBodyBytes, 'y'));
    EXPECT_EQ(metric("requests_refused_for_memory_total"), 0);
}

// A caller that left while its body waited kept its place.
TEST_F(HeldBytesTest, forgetsABodyWhoseCallerLeavesWhileItWaits)
{
    constexpr std::size_t largeBodyBytes = budgetBytes * 3 / 4;
    startWithBodies([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok")}; });
    const auto first = caller();
    first->send(headOf("/once/", largeBodyBytes));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_request_bodies_bytes") == largeBodyBytes; }));
    const auto second = caller();
    second->send(headOf("/once/", largeBodyBytes));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("requests_delayed_for_memory_total") == 1; }));
    second->hangUp();
    first->send(std::string(largeBodyBytes, 'x'));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return contains(first->received(), "ok"); }));
    EXPECT_TRUE(contains(call(request("/once/", "", std::string(largeBodyBytes, 'z')), "ok"), "200 OK"));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_request_bodies_bytes") == 0; }));
    EXPECT_EQ(runs(), 2U);
}

// A caller that sends requests and reads no answers made the router keep all of them.
TEST_F(HeldBytesTest, readsNoFurtherRequestsOfACallerThatDoesNotReadItsAnswers)
{
    constexpr std::size_t answerBytes = 50'000;
    constexpr std::size_t requests = 100;
    start([](const auto &head, const auto &) { return WorkerScript{answer(head, std::string(answerBytes, 'x'))}; });
    const auto slow = CallerFake::createSlow(*m_loop, m_relay->endpoint());
    std::size_t sent = 0;
    std::size_t before = 0;
    do {
        before = runs();
        slow->send(request("/safe/"));
        ++sent;
        // Some turns of the loop, in which a relay that reads would answer the request.
        for (int number = 0; number < 5; ++number) {
            ASSERT_TRUE(contains(call(request("/none/"), "\r\n\r\n"), "404"));
        }
    } while (runs() != before && sent < requests);
    EXPECT_LT(sent, requests);
    slow->read();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return slow->received().size() > sent * answerBytes; }));
    EXPECT_EQ(runs(), sent);
}

// The buffer of a channel kept all that its caller had read already, as long as something was left to send.
TEST_F(HeldBytesTest, holdsOnlyWhatACallerHasNotRead)
{
    constexpr std::size_t pieceBytes = 20'000;
    constexpr std::size_t unreadBytes = 500'000;
    constexpr int pieces = 200;
    Decisions::MemoryBudget budget(std::nullopt);
    IgnoringObserver observer;
    std::array<int, 2> ends{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
    const auto channel = Http::TcpChannel::adopt(*m_loop, ends[0], observer);
    channel->setMeter(createMeter(&budget, Decisions::HeldKind::UnsentToCallers));
    channel->write(std::string(unreadBytes, 'x'));
    EventLoop::Timer tick(*m_loop, [] {});
    std::string read(pieceBytes, '\0');
    tick.startAt(m_loop->now());
    m_loop->runOnce();
    for (int number = 0; number < pieces; ++number) {
        const ssize_t count = recv(ends[1], read.data(), read.size(), 0);
        ASSERT_GT(count, 0);
        channel->write(std::string(static_cast<std::size_t>(count), 'x'));
        tick.startAt(m_loop->now());
        m_loop->runOnce();
        ASSERT_GT(channel->bufferedBytes(), 0U);
        EXPECT_LE(budget.held(), 4 * (unreadBytes + pieceBytes));
    }
    close(ends[1]);
}

// Callers that paused for some tenths of a second were cut off when many answers came at once, though their requests had run.
TEST_F(HeldBytesTest, cutsOffCallersThatPauseForAMoment)
{
    constexpr std::size_t callers = 20;
    constexpr std::size_t bodyBytes = 24'000;
    constexpr std::size_t answerBytes = 400'000;
    startWithBodies([](const auto &head, const auto &) {
        return WorkerScript{answer(head, std::string(answerBytes, 'x')), WorkerScript::End::Keep, std::chrono::milliseconds(200)};
    });
    std::vector<std::unique_ptr<CallerFake>> paused;
    for (std::size_t number = 0; number < callers; ++number) {
        paused.push_back(CallerFake::createSlow(*m_loop, m_relay->endpoint()));
        paused.back()->send(request("/once/", "", std::string(bodyBytes, 'y')));
    }
    ASSERT_TRUE(runUntil(*m_loop, [&] { return runs() == callers && metric("answers_paused_total") >= callers; }));
    runFor(std::chrono::milliseconds(400));
    for (const auto &client : paused) {
        client->read();
    }
    const auto isOver = [](const auto &client) {
        return client->isClosed() || client->received().size() > answerBytes;
    };
    ASSERT_TRUE(runUntil(*m_loop, [&] { return std::all_of(paused.begin(), paused.end(), isOver); }));
    EXPECT_EQ(metric("callers_cut_for_memory_total"), 0);
    EXPECT_TRUE(std::none_of(paused.begin(), paused.end(), [](const auto &client) { return client->isClosed(); }));
}

// Many callers stop to read at once: they are paused, some are cut off as there are too many of them, and the router answers others as before.
TEST_F(HeldBytesTest, answersOthersWhileManyCallersDoNotRead)
{
    constexpr std::size_t slowCallers = 260;
    const std::string text = chunk("data: " + std::string(400'000, 'x') + "\n\n");
    start([&text](
              const auto &head, const auto &) { return WorkerScript{head.target == "/stream/" ? streamHead(head) + text + "0\r\n\r\n" : answer(head, "ok")}; });
    std::vector<std::unique_ptr<CallerFake>> slow;
    for (std::size_t number = 0; number < slowCallers; ++number) {
        slow.push_back(CallerFake::createSlow(*m_loop, m_relay->endpoint()));
        slow.back()->send(request("/stream/"));
    }
    ASSERT_TRUE(runUntil(*m_loop, [&] { return runs() == slowCallers; }));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("callers_cut_for_memory_total") > 0; }));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_unsent_to_callers_bytes") <= budgetBytes; }));
    EXPECT_TRUE(contains(call(request("/safe/"), "ok"), "200 OK"));
    EXPECT_GT(metric("answers_paused_total"), 0);
    for (const auto &client : slow) {
        client->read();
    }
    const auto isOver = [](const auto &client) {
        return client->isClosed() || client->received().ends_with("\r\n0\r\n\r\n");
    };
    ASSERT_TRUE(runUntil(*m_loop, [&] { return std::all_of(slow.begin(), slow.end(), isOver); }));
    const auto whole = std::count_if(slow.begin(), slow.end(), [](const auto &client) { return client->received().ends_with("\r\n0\r\n\r\n"); });
    const auto cut = static_cast<std::ptrdiff_t>(metric("callers_cut_for_memory_total"));
    EXPECT_EQ(whole + cut, static_cast<std::ptrdiff_t>(slowCallers));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_unsent_to_callers_bytes") == 0; }));
}

// Heads that come slowly and whole only in the end were kept beyond the budget until the deadlines of their requests.
TEST_F(HeldBytesTest, keepsPartsOfAnswersBeyondTheBudget)
{
    constexpr std::size_t callers = 40;
    constexpr std::size_t headBytes = 60'000;
    start([](const auto &head, const auto &) {
        const std::string part = "HTTP/1.1 200 OK\r\nPadding: " + std::string(headBytes, 'x');
        return WorkerScript{head.target == "/once/" ? part : answer(head, "ok")};
    });
    std::vector<std::unique_ptr<CallerFake>> waiting;
    for (std::size_t number = 0; number < callers; ++number) {
        waiting.push_back(caller());
        waiting.back()->send(request("/once/"));
    }
    ASSERT_TRUE(runUntil(*m_loop, [&] { return runs() == callers; }));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("answers_given_up_for_memory_total") > 0; }));
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_partial_answers_bytes") <= budgetBytes; }));
    const auto isAnswered = [](const auto &client) {
        return client->received().starts_with("HTTP/1.1 502");
    };
    const auto answered = [&] {
        return std::count_if(waiting.begin(), waiting.end(), isAnswered);
    };
    ASSERT_TRUE(runUntil(*m_loop, [&] { return answered() == static_cast<std::ptrdiff_t>(metric("answers_given_up_for_memory_total")); }));
    EXPECT_LT(answered(), static_cast<std::ptrdiff_t>(callers));
    EXPECT_TRUE(contains(call(request("/safe/"), "ok"), "200 OK"));
}

// An event that is proper, but longer than this router has room for, may have room elsewhere on the way.
TEST_F(HeldBytesTest, goesOnElsewhereWithAStreamWhoseEventIsBeyondMemory)
{
    const std::string longEvent = "id: 2\ndata: " + std::string(budgetBytes / 4, 'x');
    const auto script = [&](const auto &head, const auto &) {
        const std::string rest = runs() == 1 ? chunk(event(1)) + chunk(longEvent) : chunk(event(2)) + "0\r\n\r\n";
        return WorkerScript{streamHead(head) + rest};
    };
    start(script);
    addWorker(script);
    const std::string received = call(request("/resume/"), "\r\n0\r\n\r\n");
    EXPECT_TRUE(contains(received, event(1)));
    EXPECT_TRUE(contains(received, event(2)));
    EXPECT_EQ(metric("answers_given_up_for_memory_total"), 1);
    EXPECT_EQ(runs(), 2U);
    ASSERT_TRUE(runUntil(*m_loop, [&] { return metric("memory_held_partial_answers_bytes") == 0; }));
}

} // namespace

} // namespace Verbena::Relay
