#include <http/messagereader.h>
#include <http/ssesplitter.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::Http {

namespace {

/// \brief Records the parts that a reader reports.
class Recorder : public MessageSink
{
public:
    void receiveHead(MessageHead head) override
    {
        m_heads.push_back(std::move(head));
    }

    void receiveBody(std::string_view data) override
    {
        m_body.append(data);
    }

    void receiveEnd() override
    {
        ++m_ends;
    }

    const std::vector<MessageHead> &heads() const
    {
        return m_heads;
    }

    const std::string &body() const
    {
        return m_body;
    }

    int ends() const
    {
        return m_ends;
    }

private:
    std::vector<MessageHead> m_heads;
    std::string m_body;
    int m_ends = 0;
};

std::optional<MessageFault> read(const std::string &text, Recorder &recorder, const MessageLimits &limits = {})
{
    MessageReader reader(MessageReader::Kind::Requests, recorder, limits);
    return reader.feed(text);
}

std::optional<MessageFault> readRequest(const std::string &text)
{
    Recorder recorder;
    return read(text, recorder);
}

const std::string chunkedRequest = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwarm\r\n7\r\n prompt\r\n0\r\n\r\n";

// A head was cut between its last two bytes, and a body with a line that begins with a space was taken for a folded field.
TEST(MessageReaderTest, takesNoBodyForAFoldedFieldAfterAnyCut)
{
    for (std::size_t cut = 0; cut <= chunkedRequest.size(); ++cut) {
        Recorder recorder;
        MessageReader reader(MessageReader::Kind::Requests, recorder, {});
        EXPECT_FALSE(reader.feed(chunkedRequest.substr(0, cut)).has_value()) << cut;
        EXPECT_FALSE(reader.feed(chunkedRequest.substr(cut)).has_value()) << cut;
        EXPECT_TRUE(reader.isDone()) << cut;
    }
}

// No cut may hide a folded field.
TEST(MessageReaderTest, rejectsAFoldedFieldAfterAnyCut)
{
    const std::string folded = "POST /a HTTP/1.1\r\nHost: x.example\r\nMark: a\r\n b\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t cut = 0; cut <= folded.size(); ++cut) {
        Recorder recorder;
        MessageReader reader(MessageReader::Kind::Requests, recorder, {});
        const bool isRejectedEarly = reader.feed(folded.substr(0, cut)).has_value();
        EXPECT_TRUE(isRejectedEarly || reader.feed(folded.substr(cut)).has_value()) << cut;
    }
}

TEST(MessageReaderTest, parsesARequestReceivedInAnyPieces)
{
    EXPECT_TRUE(rc::check([] {
        const auto cut = *rc::gen::inRange<std::size_t>(0, chunkedRequest.size() + 1);
        const auto next = *rc::gen::inRange<std::size_t>(cut, chunkedRequest.size() + 1);
        Recorder recorder;
        MessageReader reader(MessageReader::Kind::Requests, recorder, {});
        RC_ASSERT(!reader.feed(chunkedRequest.substr(0, cut)).has_value());
        RC_ASSERT(!reader.feed(chunkedRequest.substr(cut, next - cut)).has_value());
        RC_ASSERT(!reader.feed(chunkedRequest.substr(next)).has_value());
        RC_ASSERT(reader.isDone());
        RC_ASSERT(recorder.ends() == 1);
        RC_ASSERT(recorder.body() == "warm prompt");
        RC_ASSERT(recorder.heads().front().target == "/a/b?c=d");
        RC_ASSERT(recorder.heads().front().isChunked);
    }));
}

TEST(MessageReaderTest, rejectsContentLengthWithTransferEncoding)
{
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"), MessageFault::Malformed);
}

TEST(MessageReaderTest, rejectsAmbiguousLengths)
{
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2, 2\r\n\r\nok"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +2\r\n\r\nok"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), MessageFault::Malformed);
}

TEST(MessageReaderTest, rejectsFoldedFieldsBareLineFeedsAndTwoHosts)
{
    EXPECT_EQ(readRequest("GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n\tc\r\n\r\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("GET / HTTP/1.1\nHost: x\n\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n"), MessageFault::Malformed);
}

TEST(MessageReaderTest, rejectsInvalidChunkSizes)
{
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n"), MessageFault::Malformed);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n"), MessageFault::Malformed);
}

TEST(MessageReaderTest, buffersBytesAfterACompleteRequest)
{
    Recorder recorder;
    MessageReader reader(MessageReader::Kind::Requests, recorder, {});
    const std::string second = "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
    EXPECT_FALSE(reader.feed("GET /first HTTP/1.1\r\nHost: x\r\n\r\n" + second).has_value());
    ASSERT_EQ(recorder.heads().size(), 1U);
    EXPECT_EQ(reader.surplusBytes(), second.size());
    EXPECT_FALSE(reader.next().has_value());
    EXPECT_EQ(recorder.heads().back().target, "/second");
}

TEST(MessageReaderTest, enforcesItsLimits)
{
    Recorder recorder;
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n";
    EXPECT_EQ(read(head + "A: " + std::string(2000, 'a') + "\r\n\r\n", recorder, {1024, 200}), MessageFault::HeaderTooLarge);
    EXPECT_EQ(read(head + "\r\n", recorder, {1024, 99}), MessageFault::BodyTooLarge);
    EXPECT_EQ(read(head + "\r\n", recorder, {1024, 100}), std::nullopt);
}

TEST(MessageReaderTest, distinguishesTruncatedFromCompleteResponses)
{
    Recorder recorder;
    MessageReader truncated(MessageReader::Kind::Answers, recorder, {});
    EXPECT_FALSE(truncated.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").has_value());
    EXPECT_EQ(truncated.feedEnd(), MessageFault::Truncated);
    MessageReader endedByClose(MessageReader::Kind::Answers, recorder, {});
    EXPECT_FALSE(endedByClose.feed("HTTP/1.1 200 OK\r\n\r\nall there is").has_value());
    EXPECT_FALSE(endedByClose.isDone());
    EXPECT_EQ(endedByClose.feedEnd(), std::nullopt);
    EXPECT_TRUE(endedByClose.isDone());
}

// Without a limit, Boost.Beast rejects every body that ends with its connection; the reader must accept it.
TEST(MessageReaderTest, parsesALongBodyThatEndsWithItsConnection)
{
    Recorder recorder;
    MessageReader reader(MessageReader::Kind::Answers, recorder, {});
    EXPECT_FALSE(reader.feed("HTTP/1.1 200 OK\r\n\r\n" + std::string(100'000, 'x')).has_value());
    EXPECT_EQ(reader.feedEnd(), std::nullopt);
    EXPECT_EQ(recorder.body().size(), 100'000U);
}

TEST(MessageReaderTest, expectsNoBodyAfterHead)
{
    Recorder recorder;
    MessageReader reader(MessageReader::Kind::Answers, recorder, {});
    reader.expectNoBody();
    EXPECT_FALSE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n").has_value());
    EXPECT_TRUE(reader.isDone());
}

// After an interim answer to HEAD the body was waited for until the deadline.
TEST(MessageReaderTest, expectsNoBodyAfterHeadAndAnInterimAnswer)
{
    Recorder recorder;
    MessageReader reader(MessageReader::Kind::Answers, recorder, {});
    reader.expectNoBody();
    EXPECT_FALSE(reader.feed("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n").has_value());
    while (reader.isDone() && reader.surplusBytes() > 0) {
        EXPECT_FALSE(reader.next().has_value());
    }
    EXPECT_TRUE(reader.isDone());
    EXPECT_EQ(recorder.heads().back().status, 200);
}

// The body of an answer with such a status was taken for that of the answer after it.
TEST(MessageReaderTest, rejectsStatusesBelow100)
{
    Recorder recorder;
    MessageReader reader(MessageReader::Kind::Answers, recorder, {});
    EXPECT_EQ(reader.feed("HTTP/1.1 050 Odd\r\nContent-Length: 5\r\n\r\nwhole"), MessageFault::Malformed);
    EXPECT_TRUE(recorder.body().empty());
}

TEST(SseSplitterTest, returnsCompleteEventsReceivedInAnyPieces)
{
    EXPECT_TRUE(rc::check([] {
        const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata:\n\n";
        const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        SseSplitter splitter;
        const std::string first = splitter.feed(text.substr(0, cut));
        RC_ASSERT(first.empty() || (first.size() >= 2 && first.substr(first.size() - 2) == "\n\n"));
        RC_ASSERT(first + splitter.feed(text.substr(cut)) == text);
        RC_ASSERT(splitter.lastId() == std::optional<std::uint64_t>(3));
    }));
}

TEST(SseSplitterTest, discardsIncompleteAndDeliveredEvents)
{
    SseSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    splitter.discardPending();
    EXPECT_EQ(splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

} // namespace

} // namespace Verbena::Http
