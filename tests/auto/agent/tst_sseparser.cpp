#include <http/sseparser.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace Verbena::Test {

namespace {

/// The same by the plain reading of the standard, over the whole text at once.
std::vector<std::string> naiveEvents(const std::string &text)
{
    std::vector<std::string> events;
    std::vector<std::string> data;
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
        std::string line = text.substr(begin, end - begin);
        begin = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line.rfind("data:", 0) == 0) {
            data.push_back(line.substr(line.size() > 5 && line[5] == ' ' ? 6 : 5));
        } else if (line.empty() && !data.empty()) {
            std::string event = data[0];
            for (std::size_t i = 1; i < data.size(); ++i) {
                event += "\n" + data[i];
            }
            events.push_back(event);
            data.clear();
        }
    }
    return events;
}

TEST(SseParserTest, findsTheSameEventsHoweverTheBytesAreCut)
{
    EXPECT_TRUE(rc::check("events do not depend on how the stream is cut", [] {
        const auto pieces = *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("data: a", "data:b", "data: ", "data", ":c", "\n", "\r\n", "\n\n", "x", " "));
        std::string text;
        std::vector<std::string> events;
        Http::SseParser parser;
        for (const std::string &piece : pieces) {
            text += piece;
            parser.feed(piece, [&events](std::string_view data) { events.emplace_back(data); });
        }
        RC_ASSERT(events == naiveEvents(text));
        RC_ASSERT(parser.pendingBytes() <= text.size());
    }));
}

} // namespace

} // namespace Verbena::Test
