#include <http/messagereader.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <vector>

namespace Verbena::Http {

namespace {

constexpr std::uint32_t headerBytes = 16 * 1024;
constexpr std::size_t longestPiece = 64 * 1024;

// Many times what a message may hold beside its body.
constexpr std::size_t endlessBytes = 512 * 1024;

// The shortest fields take this many times their text as objects.
constexpr std::size_t fieldExpansion = 32;

const std::string requestLine = "POST / HTTP/1.1\r\n";
const std::string statusLine = "HTTP/1.1 200 OK\r\n";
const std::string chunkedFields = "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n";

class CountingSink : public MessageSink
{
public:
    void receiveHead(MessageHead) override
    {
    }

    void receiveBody(std::string_view data) override
    {
        m_bodyBytes += data.size();
    }

    void receiveEnd() override
    {
    }

    std::size_t bodyBytes() const
    {
        return m_bodyBytes;
    }

private:
    std::size_t m_bodyBytes = 0;
};

// A beginning, and a part that is repeated without end.
struct EndlessMessage
{
    std::string begin;
    std::string repeated;
};

EndlessMessage drawEndless(MessageReader::Kind kind)
{
    const std::string line = kind == MessageReader::Kind::Requests ? requestLine : statusLine;
    const std::string body = line + chunkedFields;
    std::vector<EndlessMessage> messages{
        {"\r\n", "\r\n"},
        {line.substr(0, line.size() - 2), "x"},
        {line + "X: ", "x"},
        {line + "X: ", " "},
        {line, "X: y\r\n"},
        {line, "X:" + std::string(1000, ' ') + "\r\n"},
        {body, "0"},
        {body + "5;a=", "x"},
        {body, "1;a=" + std::string(500, 'x') + "\r\n.\r\n"},
        {body + "2\r\nhi\r\n0", "0"},
        {body + "2\r\nhi\r\n0\r\nX: ", "x"},
        {body + "2\r\nhi\r\n0\r\n", "X: y\r\n"},
    };
    if (kind == MessageReader::Kind::Answers) {
        messages.push_back({"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"});
        messages.push_back({"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 \r\nX:" + std::string(10'000, ' ') + "\r\n\r\n"});
    }
    return *rc::gen::elementOf(messages);
}

// Splits \a text into pieces of drawn sizes, of which some come together with the line ends of the text.
std::vector<std::string> drawPieces(const std::string &text, std::size_t period)
{
    const auto sizes
        = *rc::gen::container<std::vector<std::size_t>>(5, rc::gen::element<std::size_t>(1, 2, 7, 100, period, 8 * period, 1460, 16384, longestPiece));
    std::vector<std::string> pieces;
    for (std::size_t begin = 0; begin < text.size();) {
        pieces.push_back(text.substr(begin, std::clamp<std::size_t>(sizes[pieces.size() % sizes.size()], 1, longestPiece)));
        begin += pieces.back().size();
    }
    return pieces;
}

std::size_t heldBytes(const MessageReader &reader)
{
    return std::max(reader.headBytes(), reader.surplusBytes());
}

void endsInAFault(MessageReader::Kind kind)
{
    const EndlessMessage message = drawEndless(kind);
    std::string text = message.repeated;
    while (text.size() < endlessBytes) {
        text += message.repeated;
    }
    CountingSink sink;
    MessageReader reader(kind, sink, {headerBytes, std::nullopt});
    std::optional<MessageFault> fault = message.begin.empty() ? std::nullopt : reader.feed(message.begin);
    for (const std::string &piece : drawPieces(text, message.repeated.size())) {
        fault = fault.has_value() ? fault : reader.feed(piece);
        RC_ASSERT(heldBytes(reader) <= fieldExpansion * headerBytes + longestPiece);
    }
    RC_ASSERT(fault.has_value());
    RC_ASSERT(reader.feed(text).has_value());
    RC_ASSERT(heldBytes(reader) <= fieldExpansion * headerBytes);
}

// Draws a message that is proper, with \a bodyBytes of body in chunks.
std::string drawProper(MessageReader::Kind kind, std::size_t &bodyBytes)
{
    const bool isRequest = kind == MessageReader::Kind::Requests;
    std::string text;
    for (int hints = isRequest ? 0 : *rc::gen::inRange(0, 4); hints > 0; --hints) {
        text += "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    }
    text += (isRequest ? requestLine : statusLine) + "Mark: " + std::string(*rc::gen::inRange<std::size_t>(0, 15'000), 'x') + "\r\n" + chunkedFields;
    const auto size = *rc::gen::element<std::size_t>(1, 2, 15, 100, 5000);
    const auto count = *rc::gen::element<std::size_t>(0, 1, 1000, 20'000) / size;
    std::array<char, 16> digits{};
    const std::string line(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr);
    for (std::size_t chunk = 0; chunk < count; ++chunk) {
        text += line + (chunk == 0 ? ";a=" + std::string(1000, 'x') : "") + "\r\n" + std::string(size, '.') + "\r\n";
    }
    text += "0\r\n" + (*rc::gen::arbitrary<bool>() ? "Sum: " + std::string(2000, 'x') + "\r\n" : "") + "\r\n";
    bodyBytes = count * size;
    return text;
}

void isRead(MessageReader::Kind kind)
{
    std::size_t bodyBytes = 0;
    const std::string text = drawProper(kind, bodyBytes);
    CountingSink sink;
    MessageReader reader(kind, sink, {headerBytes, std::nullopt});
    for (const std::string &piece : drawPieces(text, 19)) {
        std::optional<MessageFault> fault = reader.feed(piece);
        while (!fault.has_value() && reader.isDone() && reader.surplusBytes() > 0) {
            fault = reader.next();
        }
        RC_ASSERT(!fault.has_value());
    }
    RC_ASSERT(reader.isDone());
    RC_ASSERT(sink.bodyBytes() == bodyBytes);
}

} // namespace

// A size line, an extension or a trailer without end was kept whole, and so were fields of a head that came in small pieces.
TEST(EndlessMessagesProperty, requestsEndInAFaultWhicheverPartHasNoEnd)
{
    EXPECT_TRUE(rc::check([] { endsInAFault(MessageReader::Kind::Requests); }));
}

// Interim heads were read for as long as they came.
TEST(EndlessMessagesProperty, answersEndInAFaultWhicheverPartHasNoEnd)
{
    EXPECT_TRUE(rc::check([] { endsInAFault(MessageReader::Kind::Answers); }));
}

TEST(EndlessMessagesProperty, properMessagesAreReadInAnyPieces)
{
    EXPECT_TRUE(rc::check([] { isRead(MessageReader::Kind::Requests); }));
    EXPECT_TRUE(rc::check([] { isRead(MessageReader::Kind::Answers); }));
}

} // namespace Verbena::Http
