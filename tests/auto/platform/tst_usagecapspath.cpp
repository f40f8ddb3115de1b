#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <csignal>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr double requestTokens = 110; // Of each that the deployment sends.
constexpr double perSecond = 220;
constexpr double burst = 880;

json cappedConfiguration(std::uint64_t version)
{
    json configuration = PlatformDeployment::configuration(version);
    json &organisation = configuration["tenants"][0];
    organisation["unit"] = "tokens";
    organisation["plainTokens"] = 200;
    organisation["ratePerS"] = perSecond;
    organisation["burst"] = burst;
    return configuration;
}

class UsageCapsPathTest : public testing::Test
{
protected:
    UsageCapsPathTest()
        : m_deployment(2)
    {
        EXPECT_TRUE(m_deployment.askUntil("answer of version 1", "secret", "/wall/2f", 0));
        EXPECT_TRUE(m_deployment.askUntil("answer of version 1", "secret", "/wall/2f", 1));
        m_deployment.store().put("op", "config", cappedConfiguration(9));
    }

    // Asks both routers in turn for \a span, far more often than the cap allows; returns what ran, in tokens.
    double askFor(std::chrono::milliseconds span)
    {
        const std::size_t before = m_deployment.engine().runs().size();
        const Core::TimePoint end = m_deployment.loop().now() + span;
        for (std::size_t turn = 0; m_deployment.loop().now() < end; ++turn) {
            const std::string got = m_deployment.ask("secret", "/wall/2f", turn % 2);
            const bool isRefused = got.find("HTTP/1.1 429") != std::string::npos;
            EXPECT_TRUE(isRefused || got.find("answer of version 1") != std::string::npos) << got;
            EXPECT_EQ(got.find("Retry-After") != std::string::npos, isRefused) << got;
            m_refused += isRefused ? 1 : 0;
        }
        return requestTokens * static_cast<double>(m_deployment.engine().runs().size() - before);
    }

    PlatformDeployment m_deployment;
    int m_refused = 0;
};

// Each router alone would grant the whole cap.
TEST_F(UsageCapsPathTest, keepsACapOverAllRouters)
{
    ASSERT_TRUE(m_deployment.askUntil("HTTP/1.1 429"));
    constexpr auto span = 4s;
    const double used = askFor(span);
    EXPECT_GT(m_refused, 20);
    EXPECT_LE(used, perSecond * span.count() + burst);
    EXPECT_GE(used, 0.7 * perSecond * span.count());
}

// With the agent the only count of all routers is gone; what they use by themselves stays within the cap too.
TEST_F(UsageCapsPathTest, keepsACapWhileItsKeeperIsGone)
{
    askFor(4s); // Until the routers know how many they are.
    ASSERT_GT(m_refused, 0);
    m_deployment.agent().sendSignal(SIGKILL);
    constexpr auto span = 5s;
    const double used = askFor(span);
    EXPECT_GT(m_refused, 20);
    EXPECT_LE(used, perSecond * span.count() + burst);
    EXPECT_GE(used, 0.4 * perSecond * span.count());
    m_deployment.restartAgent();
    EXPECT_TRUE(m_deployment.askUntil("answer of version 1"));
}

} // namespace

} // namespace Verbena::Test
