#include <agent/completionevent.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace Verbena::Test {

namespace {

using nlohmann::json;

/// The text and the reason of an event by the general parser alone.
struct PlainReading
{
    std::string text;
    std::string finishReason;

    bool operator==(const PlainReading &) const = default;
};

PlainReading readPlainly(const std::string &data)
{
    const json choice = json::parse(data)["choices"][0];
    return {choice["text"], choice["finish_reason"].is_string() ? choice["finish_reason"].get<std::string>() : ""};
}

TEST(CompletionEventReaderTest, readsWhatTheGeneralParserReads)
{
    EXPECT_TRUE(rc::check("the learnt form reads no event otherwise than the general parser", [] {
        const auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("a", "wall", "", "\"", "\\", "text", "\"text\":\"a", "},{", "\n", "\xc3\xa9", "?", "null"));
        const bool isSpaced = *rc::gen::arbitrary<bool>();
        Agent::CompletionEventReader reader;
        for (std::size_t i = 0; i < texts.size(); ++i) {
            const bool isLast = *rc::gen::inRange(0, 8) == 0;
            const json event{
                {"id", "text"}, {"model", "a"}, {"choices", {{{"index", 0}, {"text", texts[i]}, {"finish_reason", isLast ? json("stop") : json()}}}}};
            const std::string data = event.dump(isSpaced ? 1 : -1);
            const auto read = reader.read(data);
            RC_ASSERT(read.has_value());
            RC_ASSERT((PlainReading{std::string(read->text), std::string(read->finishReason)} == readPlainly(data)));
        }
    }));
}

TEST(CompletionEventReaderTest, readsUsageAndErrors)
{
    Agent::CompletionEventReader reader;
    const auto usage = reader.read(R"({"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":8}}})");
    EXPECT_EQ(usage->usage, (Agent::CompletionUsage{9, 4, 8}));
    EXPECT_FALSE(reader.read(R"({"choices":[],"usage":{"prompt_tokens":9}})")->usage->cachedTokens);
    EXPECT_EQ(reader.read(R"({"error":{"message":"no memory"}})")->error, "no memory");
    EXPECT_FALSE(reader.read("{\"choices\":"));
    EXPECT_FALSE(reader.read("[]"));
}

} // namespace

} // namespace Verbena::Test
