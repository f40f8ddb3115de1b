#include "plainprotocol.h"

#include <platform/workerfake.h>
#include <relay/relaytask.h>
#include <relay/resendqueue.h>

#include <gtest/gtest.h>

#include <vector>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Decisions::ResendBudget;
using Decisions::ResendPurpose;
using Test::CallerFake;
using Test::PlainProtocol;
using Test::runUntil;
using Test::WorkerFake;
using Test::WorkerScript;

class ResendQueueTest : public testing::Test
{
protected:
    explicit ResendQueueTest(const Decisions::ResendLimits &limits = {1, 0, 10s})
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_budget(limits, 1, m_loop->now())
        , m_queue(*m_loop, m_budget, m_loop->now() + 1h)
    {
    }

    std::uint64_t wait()
    {
        return m_queue.wait("s", ResendPurpose::Failure, m_loop->now(), [this](bool isGranted) { m_results.push_back(isGranted); });
    }

    // Fills the budget for one resend of a request that is no stream.
    void fill()
    {
        for (int request = 0; request < 5; ++request) {
            m_budget.recordRequest("s", m_loop->now());
        }
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    ResendBudget m_budget;
    ResendQueue m_queue;
    std::vector<bool> m_results;
};

TEST_F(ResendQueueTest, grantsInOrderOfArrivalAsTheBudgetFills)
{
    std::vector<int> order;
    for (int number = 0; number < 2; ++number) {
        ASSERT_NE(m_queue.wait("s", ResendPurpose::Failure, m_loop->now(), [&order, number](bool isGranted) { order.push_back(isGranted ? number : -1); }), 0U);
    }
    fill();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return order.size() == 2; }));
    EXPECT_EQ(order, (std::vector<int>{0, -1}));
}

TEST_F(ResendQueueTest, refusesAfterTheMaximumWaitWithoutABudget)
{
    const Core::TimePoint begin = m_loop->now();
    ASSERT_NE(wait(), 0U);
    ASSERT_TRUE(runUntil(*m_loop, [&] { return !m_results.empty(); }));
    EXPECT_FALSE(m_results[0]);
    EXPECT_GE(m_loop->now() - begin, 500ms);
}

TEST_F(ResendQueueTest, acceptsNoMoreThanTheMaximumNumberOfEntries)
{
    while (wait() != 0) {
        ASSERT_LT(m_results.size(), 100U);
    }
    EXPECT_TRUE(m_results.empty());
    ASSERT_TRUE(runUntil(*m_loop, [&] { return m_results.size() == 8; }));
}

TEST_F(ResendQueueTest, acceptsNoEntryAfterTheEnd)
{
    ResendQueue late(*m_loop, m_budget, m_loop->now());
    EXPECT_EQ(late.wait("s", ResendPurpose::Failure, m_loop->now(), [](bool) {}), 0U);
    EXPECT_NE(wait(), 0U);
}

TEST_F(ResendQueueTest, doesNotCallBackAWithdrawnEntry)
{
    m_queue.withdraw(wait());
    ASSERT_NE(wait(), 0U);
    fill();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return !m_results.empty(); }));
    EXPECT_EQ(m_results, std::vector<bool>{true});
}

// A stream that a caller has received in part was broken off for want of a budget that would have been earned in time.
TEST_F(ResendQueueTest, letsABegunStreamWaitAtAnyTime)
{
    ResendQueue late(*m_loop, m_budget, m_loop->now());
    ASSERT_NE(late.wait("s", ResendPurpose::BegunStream, m_loop->now(), [this](bool isGranted) { m_results.push_back(isGranted); }), 0U);
    const Core::TimePoint filledAt = m_loop->now() + 700ms;
    runUntil(*m_loop, [&] { return m_loop->now() >= filledAt; });
    EXPECT_TRUE(m_results.empty());
    fill();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return !m_results.empty(); }));
    EXPECT_TRUE(m_results[0]);
}

TEST_F(ResendQueueTest, grantsNothingBeforeTheEarliestTime)
{
    fill();
    const Core::TimePoint earliest = m_loop->now() + 200ms;
    ASSERT_NE(m_queue.wait("s", ResendPurpose::Failure, earliest, [this](bool isGranted) { m_results.push_back(isGranted); }), 0U);
    ASSERT_TRUE(runUntil(*m_loop, [&] { return !m_results.empty(); }));
    EXPECT_TRUE(m_results[0]);
    EXPECT_GE(m_loop->now(), earliest);
}

class RestartedRelayTest : public testing::Test
{
protected:
    RestartedRelayTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
    {
    }

    void start(const Decisions::ResendLimits &limits)
    {
        RelaySettings settings;
        settings.listen = Http::Endpoint::parse("127.0.0.1:0").value();
        settings.resend = limits;
        settings.routing.isProbing = false;
        settings.seed = 3;
        m_relay = std::move(RelayTask::create(*m_loop, settings, m_protocol).value());
        EXPECT_TRUE(m_relay->listen());
        Decisions::RelayConfiguration declared;
        declared.version = 1;
        Decisions::RelayRoute route;
        route.name = "safe";
        route.host = "x";
        route.prefix = "/safe/";
        route.kind = Decisions::RequestKind::Idempotent;
        route.timeout = 20s;
        route.attempts = 2;
        route.services = {{"s", 1.0}};
        declared.routes = {route};
        m_relay->setConfiguration(declared);
        for (const std::string id : {"one", "other"}) {
            m_workers.push_back(std::make_unique<WorkerFake>(*m_loop, [this](const auto &, const auto &) { return script(); }));
            m_relay->fleet().servers().set({id, "s", m_workers.back()->address(), "hall", 6, false, {}});
        }
    }

    // The first call fails, whichever backend server gets it.
    WorkerScript script()
    {
        const bool isFirst = ++m_runs == 1;
        return {isFirst ? "HTTP/1.1 500 Error\r\nId: a1\r\nReceipt: r\r\nContent-Length: 5\r\n\r\nsorry"
                        : "HTTP/1.1 200 OK\r\nId: a1\r\nReceipt: r\r\nContent-Length: 4\r\n\r\ndone"};
    }

    std::string call()
    {
        CallerFake caller(*m_loop, m_relay->endpoint());
        caller.send("GET /safe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n\r\n");
        EXPECT_TRUE(runUntil(*m_loop, [&] {
            return caller.received().find("done") != std::string::npos || caller.received().find("sorry") != std::string::npos;
        })) << caller.received();
        return caller.received();
    }

    PlainProtocol m_protocol;
    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<RelayTask> m_relay;
    std::vector<std::unique_ptr<WorkerFake>> m_workers;
    int m_runs = 0;
};

// The resend budget is empty after a start; without the queue, the first callers would get failures that a running process hides by resending.
TEST_F(RestartedRelayTest, resendsAFailedRequestRightAfterTheStart)
{
    start({0, 400, 1s});
    EXPECT_NE(call().find("200 OK"), std::string::npos);
    EXPECT_EQ(m_runs, 2);
}

TEST_F(RestartedRelayTest, forwardsTheFailureIfTheBudgetDoesNotFill)
{
    start({0, 0, 1s});
    EXPECT_NE(call().find("HTTP/1.1 500"), std::string::npos);
    EXPECT_EQ(m_runs, 1);
}

} // namespace

} // namespace Verbena::Relay
