#include <router/routersettings.h>
#include <settings/settingsreader.h>

#include <gtest/gtest.h>

namespace Verbena::Router {

namespace {

Core::Result<RouterSettings> read(const std::string &shutdown)
{
    auto reader = Settings::SettingsReader::fromText("name: router1\nshutdown: " + shutdown + "\n", "router.yaml");
    return RouterSettings::read(reader.value());
}

// A router that still took connections when it gave requests up could only cut them.
TEST(RouterSettingsTest, refusesANoticeThatLastsUntilRequestsAreGivenUp)
{
    EXPECT_TRUE(read("{notice: 1499ms, grace: 2s}"));
    for (const char *shutdown : {"{notice: 1500ms, grace: 2s}", "{notice: 10min}", "{grace: 5s}"}) {
        const auto settings = read(shutdown);
        ASSERT_FALSE(settings) << shutdown;
        const std::string &message = settings.error().message;
        EXPECT_NE(message.find("router.yaml:2: shutdown.notice: "), std::string::npos) << message;
        EXPECT_NE(message.find("shutdown.grace"), std::string::npos) << message;
    }
}

} // namespace

} // namespace Verbena::Router
