#include <json/jsontext.h>

#include <gtest/gtest.h>

namespace Verbena::Test {

namespace {

std::string listOf(const std::string &entry, std::size_t bytes)
{
    std::string text = "[" + entry;
    while (text.size() < bytes) {
        text += ',' + entry;
    }
    return text + ']';
}

// A text of 4 MiB took 124 MB once it was read.
TEST(JsonTextTest, refusesTextsThatTakeManyTimesTheirLength)
{
    constexpr std::size_t bytes = 4 * 1024 * 1024;
    EXPECT_FALSE(JsonText::parse(listOf("{}", bytes)));
    EXPECT_FALSE(JsonText::parse(listOf("0", bytes)));
    EXPECT_TRUE(JsonText::parse(listOf(R"([118,"+","salt","b1\",{[",1600,"model"])", bytes)));
}

} // namespace

} // namespace Verbena::Test
