#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t routers = 8;
constexpr std::size_t heard = 2; // Routers that the store answers; they come first.
constexpr std::size_t dark = 2; // Routers that are gone without a word; they come last.

// Within it a change has to be in force on all routers that can learn of it; what the platform tells them where a test says nothing else.
constexpr auto configurationTime = 2s;

// Changes that are made one after the other, so that luck does not pass.
constexpr int changes = 6;

std::string keyOf(std::uint64_t version)
{
    return "key-" + std::to_string(version);
}

class LateConfigurationsTest : public testing::Test
{
protected:
    LateConfigurationsTest()
        : m_deployment(routers)
    {
        publish();
        std::set<std::size_t> late;
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.askUntil("200 OK", keyOf(m_version), "/wall/2f", router));
        }
    }

    // A configuration with a new key.
    void publish()
    {
        json configuration = PlatformDeployment::configuration(++m_version);
        configuration["tenants"][0]["apiKeys"] = {keyOf(m_version)};
        m_deployment.store().put("op", "config", configuration);
    }

    bool isInForce(std::size_t router)
    {
        return m_deployment.ask(keyOf(m_version), "/wall/2f", router).find("200 OK") != std::string::npos;
    }

    // How long it took until the routers before \a end had a new configuration.
    std::chrono::milliseconds worstLag(std::size_t end)
    {
        publish();
        const Core::TimePoint published = m_deployment.loop().now();
        std::set<std::size_t> late;
        for (std::size_t router = 0; router < end; ++router) {
            late.insert(router);
        }
        while (!late.empty() && m_deployment.loop().now() < published + 20s) {
            std::erase_if(late, [this](std::size_t router) { return isInForce(router); });
            m_deployment.runFor(10ms);
        }
        EXPECT_TRUE(late.empty());
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_deployment.loop().now() - published);
    }

    PlatformDeployment m_deployment;
    std::uint64_t m_version = 3;
};

// Routers that the store turned away asked others by luck, dark ones and turned-away ones too, and served by an old configuration meanwhile.
TEST_F(LateConfigurationsTest, comeInTimeToRoutersThatTheStoreTurnsAwayWhileOthersAreDark)
{
    // All routers have to be named to each other.
    m_deployment.runFor(3s);
    for (std::size_t router = heard; router < routers; ++router) {
        m_deployment.door(router).close();
    }
    for (std::size_t router = routers - dark; router < routers; ++router) {
        m_deployment.darkenRouter(router);
    }
    std::chrono::milliseconds worst{0};
    for (int change = 0; change < changes; ++change) {
        m_deployment.runFor(700ms);
        worst = std::max(worst, worstLag(routers - dark));
    }
    RecordProperty("worst_ms", static_cast<int>(worst.count()));
    EXPECT_LT(worst.count(), std::chrono::milliseconds(configurationTime).count());
}

} // namespace

} // namespace Verbena::Test
