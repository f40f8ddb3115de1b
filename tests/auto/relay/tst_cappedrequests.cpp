#include "plainprotocol.h"

#include <platform/workerfake.h>
#include <relay/relaytask.h>

#include <gtest/gtest.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Decisions::UsageClaim;
using Decisions::UsageVerdict;
using Verbena::Test::CallerFake;
using Verbena::Test::runUntil;
using Verbena::Test::WorkerScript;

// Answers with the given verdict, or when the test calls the stored callback.
class ControlFake : public UsageControl
{
public:
    std::uint64_t claim(const UsageClaim &claim, Callback done) override
    {
        claims.push_back(claim);
        if (verdict.has_value()) {
            done(*verdict);
            return 0;
        }
        callback = std::move(done);
        return claims.size();
    }

    void withdraw(std::uint64_t number) override
    {
        withdrawn.push_back(number);
    }

    void refund(const UsageClaim &claim) override
    {
        refunds.push_back(claim.cost);
    }

    std::optional<UsageVerdict> verdict;
    std::vector<UsageClaim> claims;
    std::vector<double> refunds;
    std::vector<std::uint64_t> withdrawn;
    Callback callback;
};

class CappedRequestTest : public testing::Test
{
protected:
    CappedRequestTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
    {
        RelaySettings settings;
        settings.listen = Http::Endpoint::parse("127.0.0.1:0").value();
        settings.resend = {0.2, 100, 10s};
        settings.routerCount = 1;
        settings.routing.isProbing = false;
        m_relay = std::move(RelayTask::create(*m_loop, settings, m_protocol).value());
        EXPECT_TRUE(m_relay->listen());
        m_relay->setUsageControl(&m_control);
        Decisions::RelayRoute route;
        route.name = "r";
        route.host = "x";
        route.prefix = "/once/";
        route.timeout = 20s;
        route.priority = 4;
        route.services = {{"s", 1.0}};
        Decisions::RelayConfiguration declared;
        declared.version = 5;
        declared.routes = {route};
        const Decisions::UsageCap cap{10, 10, true, 200};
        declared.organisations = {{"dams", {"k"}, std::nullopt, false, cap}, {"locks", {"l"}, 1, false, cap}, {"free", {"f"}, std::nullopt, false, {}}};
        m_relay->setConfiguration(declared);
    }

    void start(Verbena::Test::WorkerFake::Answer script)
    {
        m_worker = std::make_unique<Verbena::Test::WorkerFake>(*m_loop, std::move(script));
        m_relay->fleet().servers().set({"server-1", "s", m_worker->address(), "hall", 6, false, {}});
    }

    static WorkerScript answer(const Http::MessageHead &head, const std::string &fields = "Receipt: r\r\n", const std::string &status = "200 OK")
    {
        return {"HTTP/1.1 " + status + "\r\nId: " + Verbena::Test::requestId(head) + "\r\n" + fields + "Content-Length: 2\r\n\r\nok"};
    }

    std::unique_ptr<CallerFake> ask(const std::string &key = "k")
    {
        auto caller = std::make_unique<CallerFake>(*m_loop, m_relay->endpoint());
        caller->send("POST /once/ HTTP/1.1\r\nHost: x\r\nId: a1\r\nKey: " + key + "\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    std::string answerTo(CallerFake &caller)
    {
        EXPECT_TRUE(runUntil(*m_loop, [&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
        return caller.received();
    }

    Verbena::Test::PlainProtocol m_protocol;
    ControlFake m_control;
    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<RelayTask> m_relay;
    std::unique_ptr<Verbena::Test::WorkerFake> m_worker;
};

TEST_F(CappedRequestTest, runsOnlyAfterItsCostIsGranted)
{
    start([](const auto &head, const auto &) { return answer(head); });
    const auto caller = ask();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return m_control.claims.size() == 1; }));
    EXPECT_EQ(m_control.claims[0].organisation, "dams");
    EXPECT_EQ(m_control.claims[0].capVersion, 5U);
    EXPECT_EQ(m_control.claims[0].cost, 200);
    EXPECT_TRUE(m_worker->heads().empty());
    m_control.callback({true, {}});
    EXPECT_NE(answerTo(*caller).find("200 OK"), std::string::npos);
    EXPECT_TRUE(m_control.refunds.empty());
}

TEST_F(CappedRequestTest, isRefusedBeyondTheCapWithARetryDelay)
{
    start([](const auto &head, const auto &) { return answer(head); });
    m_control.verdict = UsageVerdict{false, 700ms};
    const std::string got = answerTo(*ask());
    EXPECT_NE(got.find("HTTP/1.1 429"), std::string::npos);
    EXPECT_NE(got.find("Come-Back-Ms: 700"), std::string::npos);
    EXPECT_TRUE(m_worker->heads().empty());
    EXPECT_TRUE(m_control.refunds.empty());
}

// A time that was cut to a second and a half brought callers back to a cap that had no room yet.
TEST_F(CappedRequestTest, tellsItsCallerAnyRetryDelayInFull)
{
    start([](const auto &head, const auto &) { return answer(head); });
    m_control.verdict = UsageVerdict{false, 12s};
    EXPECT_NE(answerTo(*ask()).find("Come-Back-Ms: 12000"), std::string::npos);
}

// An organisation's priority goes before its route's, in the order in a cap as at engines.
TEST_F(CappedRequestTest, claimsWithThePriorityInForce)
{
    start([](const auto &head, const auto &) { return answer(head); });
    m_control.verdict = UsageVerdict{true, {}};
    answerTo(*ask());
    answerTo(*ask("l"));
    ASSERT_EQ(m_control.claims.size(), 2U);
    EXPECT_EQ(m_control.claims[0].priority, 4U);
    EXPECT_EQ(m_control.claims[1].priority, 1U);
}

TEST_F(CappedRequestTest, claimsNothingForAnOrganisationWithoutACap)
{
    start([](const auto &head, const auto &) { return answer(head); });
    EXPECT_NE(answerTo(*ask("f")).find("200 OK"), std::string::npos);
    EXPECT_TRUE(m_control.claims.empty());
}

// A full backend server refuses a request whose cost was granted. Without a refund, the cap would be lowered just when callers have to retry.
TEST_F(CappedRequestTest, refundsARequestThatDidNotRun)
{
    start([](const auto &head, const auto &) { return answer(head, "Not-Run: 1\r\n", "503 Busy"); });
    m_control.verdict = UsageVerdict{true, {}};
    EXPECT_NE(answerTo(*ask()).find("HTTP/1.1 503"), std::string::npos);
    EXPECT_EQ(m_control.refunds, std::vector<double>{200});
}

TEST_F(CappedRequestTest, doesNotRefundARequestThatMayHaveRun)
{
    start([](const auto &, const auto &) { return WorkerScript{"", WorkerScript::End::Reset}; });
    m_control.verdict = UsageVerdict{true, {}};
    EXPECT_NE(answerTo(*ask()).find("HTTP/1.1 502"), std::string::npos);
    EXPECT_TRUE(m_control.refunds.empty());
}

TEST_F(CappedRequestTest, withdrawsTheClaimOfACallerThatLeft)
{
    start([](const auto &head, const auto &) { return answer(head); });
    auto caller = ask();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return m_control.claims.size() == 1; }));
    caller.reset();
    EXPECT_TRUE(runUntil(*m_loop, [&] { return m_control.withdrawn == std::vector<std::uint64_t>{1}; }));
    EXPECT_TRUE(m_worker->heads().empty());
}

} // namespace

} // namespace Verbena::Relay
