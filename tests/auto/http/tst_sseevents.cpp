#include <http/sseeventscanner.h>
#include <http/ssesplitter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace Verbena::Http {

namespace {

// A stream with the positions at which its events end.
struct EventStream
{
    std::string bytes;
    std::vector<std::size_t> ends;
};

// Returns a stream of events in each of which all lines end alike.
EventStream makeStream(const std::vector<std::uint8_t> &lineEnds)
{
    static const std::array<std::string, 3> ends{"\n", "\r\n", "\r"};
    EventStream stream;
    for (std::size_t index = 0; index < lineEnds.size(); ++index) {
        const std::string &end = ends.at(lineEnds[index] % ends.size());
        stream.bytes.append("id: ").append(std::to_string(index + 1)).append(end).append("data: x").append(end).append(end);
        stream.ends.push_back(stream.bytes.size());
    }
    return stream;
}

// Calls \a feed with \a bytes in pieces of at most \a pieceBytes.
template<typename Feed>
void feedInPieces(std::string_view bytes, std::size_t pieceBytes, const Feed &feed)
{
    while (!bytes.empty()) {
        feed(bytes.substr(0, pieceBytes));
        bytes.remove_prefix(std::min(pieceBytes, bytes.size()));
    }
}

RC_GTEST_PROP(SseEventScanner, tellsWhetherAStreamWasCutInsideAnEvent, ())
{
    const EventStream stream = makeStream(*rc::gen::arbitrary<std::vector<std::uint8_t>>());
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, stream.bytes.size() + 1);
    const std::size_t pieceBytes = *rc::gen::inRange<std::size_t>(1, 12);
    SseEventScanner scanner;
    feedInPieces(std::string_view(stream.bytes).substr(0, cut), pieceBytes, [&](std::string_view piece) { scanner.skip(piece); });
    bool isAtEnd = cut == 0;
    for (const std::size_t end : stream.ends) {
        // A carriage return that ends the blank line ends the event, whether or not a line feed follows.
        const bool isBeforeLineFeed = cut + 1 == end && stream.bytes[cut - 1] == '\r' && stream.bytes[cut] == '\n';
        isAtEnd = isAtEnd || cut == end || isBeforeLineFeed;
    }
    RC_ASSERT(scanner.isInsideEvent() == !isAtEnd);
}

// Blank lines before the first event, or a part of it, must not count as an event.
TEST(SseEventScanner, tellsWhetherAnEventHasEnded)
{
    SseEventScanner scanner;
    scanner.skip("\n\nid: 1\ndata: x\n");
    EXPECT_FALSE(scanner.hasEvent());
    scanner.skip("\nid: 2");
    EXPECT_TRUE(scanner.hasEvent());
    scanner.reset();
    EXPECT_FALSE(scanner.hasEvent());
}

RC_GTEST_PROP(SseSplitter, returnsEachEventAsSoonAsItIsComplete, ())
{
    const EventStream stream = makeStream(*rc::gen::arbitrary<std::vector<std::uint8_t>>());
    const std::size_t pieceBytes = *rc::gen::inRange<std::size_t>(1, 12);
    SseSplitter splitter;
    std::string returned;
    std::size_t fed = 0;
    feedInPieces(stream.bytes, pieceBytes, [&](std::string_view piece) {
        fed += piece.size();
        returned += splitter.feed(piece);
        std::size_t complete = 0;
        for (std::size_t index = 0; index < stream.ends.size() && stream.ends[index] <= fed; ++index) {
            complete = index + 1;
        }
        RC_ASSERT(splitter.lastId().value_or(0) >= complete);
    });
    returned += splitter.takePending();
    RC_ASSERT(returned == stream.bytes);
}

// Events whose lines end in CR LF were held back until the end of their stream.
TEST(SseSplitter, returnsEventsWhoseLinesEndInCrLf)
{
    SseSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\nda"), "id: 1\r\ndata: a\r\n\r\n");
    EXPECT_EQ(splitter.lastId(), 1U);
    splitter.discardPending();
    EXPECT_EQ(splitter.feed("id: 1\r\n\r\nid: 2\r\n\r\n"), "id: 2\r\n\r\n");
}

} // namespace

} // namespace Verbena::Http
