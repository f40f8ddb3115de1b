#include <core/boundedspan.h>
#include <core/time.h>
#include <eventloop/loop.h>
#include <http/endpoint.h>
#include <platform/workerfake.h>
#include <weights/usagekeeper.h>

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <optional>

#include <unistd.h>

namespace Verbena::Weights {

namespace {

using namespace std::chrono_literals;
using Test::runUntil;

constexpr double slack = 10;
constexpr double nothing = std::numeric_limits<double>::quiet_NaN();
constexpr double endless = std::numeric_limits<double>::infinity();

sockaddr_in address(int host)
{
    const auto pid = static_cast<unsigned>(getpid());
    const std::string ip = "127." + std::to_string(1 + pid / 250 % 250) + '.' + std::to_string(1 + pid % 250) + '.' + std::to_string(host);
    return Http::Endpoint::parse(ip + ":7341").value().address;
}

verbena::wire::UsageClaim properClaim()
{
    verbena::wire::UsageClaim claim;
    claim.set_organisation("dams");
    claim.set_cap_version(1);
    claim.set_per_second(1e9);
    claim.set_burst(5);
    claim.set_cost(1);
    claim.set_kept_for_us(1'000'000'000);
    claim.set_routers(1);
    return claim;
}

// A keeper of usage, and a router that asks it.
class OddMessagesTest : public testing::Test
{
protected:
    OddMessagesTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_keeper(std::move(UsageKeeper::create(*m_loop, address(1), slack, [] { return 1U; }).value()))
        , m_router(std::move(Wire::DatagramSocket::bind(*m_loop, address(2), [this](const sockaddr_in &, const verbena::wire::Envelope &message) {
            m_verdict = message.usage_verdict();
        }).value()))
    {
    }

    void send(verbena::wire::UsageClaim claim)
    {
        claim.set_id(++m_sent);
        verbena::wire::Envelope message;
        *message.mutable_usage_claim() = std::move(claim);
        EXPECT_TRUE(m_router->send(address(1), message));
    }

    std::optional<verbena::wire::UsageVerdict> verdictOn(const verbena::wire::UsageClaim &claim)
    {
        send(claim);
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_verdict.has_value() && m_verdict->id() == m_sent; }));
        return m_verdict;
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<UsageKeeper> m_keeper;
    std::unique_ptr<Wire::DatagramSocket> m_router;
    std::optional<verbena::wire::UsageVerdict> m_verdict;
    std::uint64_t m_sent = 0;
};

} // namespace

// One claim whose number was none took the cap off its organisation, or let it have nothing more.
TEST_F(OddMessagesTest, numberThatIsNoneStaysInTheAccount)
{
    for (const double odd : {nothing, endless, -endless}) {
        verbena::wire::UsageClaim claim = properClaim();
        claim.set_cost(odd);
        send(claim);
        claim = properClaim();
        claim.set_burst(odd);
        claim.set_cap_version(std::numeric_limits<std::uint64_t>::max());
        send(claim);
        claim = properClaim();
        claim.set_per_second(odd);
        claim.set_cap_version(std::numeric_limits<std::uint64_t>::max());
        send(claim);
    }
    EXPECT_TRUE(verdictOn(properClaim())->granted());
    verbena::wire::UsageClaim large = properClaim();
    large.set_cost(1000);
    EXPECT_FALSE(verdictOn(large)->granted());
}

TEST_F(OddMessagesTest, answersWhoeverClaimsToHaveAskedForEver)
{
    verbena::wire::UsageClaim claim = properClaim();
    claim.set_kept_for_us(std::numeric_limits<std::uint64_t>::max());
    EXPECT_TRUE(verdictOn(claim)->granted());
}

// A time that another process named lay in the past, as it was too long to be computed with.
TEST(BoundedSpanTest, longTimeLiesInThePast)
{
    const Core::TimePoint now = Core::Clock::now();
    for (const std::uint64_t count : {std::numeric_limits<std::uint64_t>::max(), std::uint64_t(1) << 63, std::uint64_t(1) << 62}) {
        EXPECT_EQ(now + Core::boundedSpan<std::chrono::microseconds>(count), now + 24h);
        EXPECT_EQ(now + Core::boundedSpan<std::chrono::milliseconds>(count), now + 24h);
    }
    EXPECT_EQ(Core::boundedSpan<std::chrono::microseconds>(7), 7us);
}

} // namespace Verbena::Weights
