#include <settings/settingsreader.h>

#include <gtest/gtest.h>

namespace Verbena::Settings {

namespace {

TEST(SettingsReaderTest, namesFileLineAndKeyOfEveryProblem)
{
    auto reader = SettingsReader::fromText("port: 70000\nextra: 1\ndelay: 5 parsecs\nlist: 3\n", "file.yaml");
    ASSERT_TRUE(reader);
    SettingsReader &root = reader.value();
    EXPECT_EQ(root.integer("port", 80, 0, 65535), 80);
    root.span("delay", std::chrono::seconds(1), std::chrono::seconds(0), std::chrono::seconds(9));
    root.strings("list");
    root.requiredString("name");
    const auto finished = root.finish();
    ASSERT_FALSE(finished);
    const std::string &message = finished.error().message;
    EXPECT_NE(message.find("file.yaml:1: port:"), std::string::npos) << message;
    EXPECT_NE(message.find("file.yaml:2: extra: This key is not known."), std::string::npos) << message;
    EXPECT_NE(message.find("file.yaml:3: delay:"), std::string::npos) << message;
    EXPECT_NE(message.find("file.yaml:4: list:"), std::string::npos) << message;
    EXPECT_NE(message.find("name: This key is required."), std::string::npos) << message;
}

TEST(SettingsReaderTest, readsSpansWithUnits)
{
    auto reader = SettingsReader::fromText("a: 250ms\nb: 2min\n", "file.yaml");
    ASSERT_TRUE(reader);
    const std::chrono::hours limit(1);
    EXPECT_EQ(reader.value().span("a", {}, {}, limit), std::chrono::milliseconds(250));
    EXPECT_EQ(reader.value().span("b", {}, {}, limit), std::chrono::minutes(2));
    EXPECT_TRUE(reader.value().finish());
}

TEST(SettingsReaderTest, refusesWhatIsNoMapping)
{
    EXPECT_FALSE(SettingsReader::fromText("- 1\n", "file.yaml"));
    EXPECT_FALSE(SettingsReader::fromText("a: [\n", "file.yaml"));
}

} // namespace

} // namespace Verbena::Settings
