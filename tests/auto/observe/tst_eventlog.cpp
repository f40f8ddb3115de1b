#include <observe/eventformat.h>
#include <observe/eventlog.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace Verbena::Observe {

namespace {

constexpr Event testEvent{1, Severity::Warning, "test_event", "Something was tested."};
constexpr Event quietEvent{2, Severity::Debug, "quiet_event", "Something quiet was tested."};

std::string logged(const LogOptions &options, const std::function<void()> &write)
{
    testing::internal::CaptureStderr();
    configureLog(options);
    write();
    return testing::internal::GetCapturedStderr();
}

TEST(EventLogTest, writesTextWithNumberNameAndFields)
{
    const std::string line = logged({.process = "router1"}, [] {
        log(testEvent, {{"peer", "10.0.0.1:7000"}, {"reason", "two words"}});
        log(quietEvent);
    });
    EXPECT_TRUE(line.ends_with("Z WARN router1 1 test_event \"Something was tested.\" peer=10.0.0.1:7000 reason=\"two words\"\n")) << line;
    EXPECT_EQ(line.substr(4, 1) + line.substr(10, 1), "-T") << line;
}

TEST(EventLogTest, writesOneJsonObjectPerLineWithTheStepAndPeerOfErrors)
{
    const std::string line = logged({.process = "router1", .isJson = true}, [] {
        log(testEvent, Core::Error{Core::ErrorCode::Unavailable, "agent.connect", "e1", "It is not there."}, {{"attempt", "2"}});
    });
    const auto object = nlohmann::json::parse(line);
    EXPECT_EQ(object["level"], "WARN");
    EXPECT_EQ(object["number"], 1);
    EXPECT_EQ(object["step"], "agent.connect");
    EXPECT_EQ(object["peer"], "e1");
    EXPECT_EQ(object["code"], "unavailable");
    EXPECT_EQ(object["attempt"], "2");
    EXPECT_EQ(object["time"].get<std::string>().size(), std::string_view("2026-12-02T17:00:00.000Z").size());
}

TEST(EventLogTest, keepsEveryValueOnOneLineAndJsonReadable)
{
    EXPECT_TRUE(rc::check("any bytes as a value", [](const std::string &value) {
        const std::string text = formatText(testEvent, {{"value", value}});
        RC_ASSERT(text.find('\n') == std::string::npos);
        const auto object = nlohmann::json::parse("{" + formatJsonMembers("p", testEvent, {{"value", value}, {"number", value}}));
        RC_ASSERT(object["number"] == 1);
        RC_ASSERT(object.contains("value"));
    }));
}

} // namespace

} // namespace Verbena::Observe
