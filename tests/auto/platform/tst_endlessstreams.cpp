#include <platform/smallhosttest.h>
#include <support/chunk.h>

#include <algorithm>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t callers = 60;
constexpr std::size_t pieceBytes = 64 * 1024;
constexpr std::chrono::milliseconds playTime{2000};

// An answer without an end to callers that read.
struct EndlessForm
{
    const char *name;
    const char *status;
    const char *framing;
    const char *piece; ///< Sent without end, so often that it fills a packet.
};

std::ostream &operator<<(std::ostream &output, const EndlessForm &form)
{
    return output << form.name;
}

std::string repeated(const std::string &piece)
{
    std::string bytes;
    while (bytes.size() < pieceBytes) {
        bytes += piece;
    }
    return bytes;
}

class EndlessStreamsTest : public SmallHostTest, public testing::WithParamInterface<EndlessForm>
{
protected:
    EndlessStreamsTest()
        : SmallHostTest([endless = repeated(GetParam().piece)](const Http::MessageHead &head, const std::string &) {
            const std::string begin = answerHead(head, GetParam().status) + GetParam().framing;
            return WorkerScript{begin, WorkerScript::End::Keep, 0ms, endless};
        })
    {
    }

    // Returns the most that the router and its connections take within \a span, while \a asked read.
    std::uint64_t mostInUseWithin(std::chrono::milliseconds span, const std::vector<std::unique_ptr<CallerFake>> &asked)
    {
        const Core::TimePoint end = m_deployment.loop().now() + span;
        std::uint64_t most = 0;
        EXPECT_TRUE(m_deployment.runUntil([&] {
            std::for_each(asked.begin(), asked.end(), [](const auto &caller) { caller->forgetReceived(); });
            most = std::max(most, hostBytesInUse());
            return m_deployment.loop().now() >= end;
        }));
        return most;
    }
};

// Answers without an end made a router outgrow its host, with all that ran on it.
TEST_P(EndlessStreamsTest, outgrowTheHost)
{
    std::vector<std::unique_ptr<CallerFake>> asked;
    for (std::size_t number = 0; number < callers; ++number) {
        asked.push_back(ask("/brief/a"));
    }
    const std::uint64_t most = mostInUseWithin(playTime, asked);
    // The address sanitizer keeps freed memory, so that its builds say nothing of it.
#ifndef __SANITIZE_ADDRESS__
    EXPECT_LT(most, hostLimits.memoryMegabytes * bytesPerMegabyte);
#endif
    RecordProperty("most_in_use", std::to_string(most));
    EXPECT_TRUE(isServed());
}

constexpr const char *chunked = "Transfer-Encoding: chunked\r\n\r\n";
constexpr const char *oneChunk = "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n";
constexpr const char *unframed = "\r\n";
constexpr const char *text = "xxxxxxxxxxxxxxxx";
constexpr const char *smallChunk = "1\r\nx\r\n";
constexpr const char *noEvent = "9\r\ndata: xyz\r\n";
constexpr const char *wholeEvents = "14\r\nid: 1\ndata: answer\n\n\r\n";

INSTANTIATE_TEST_SUITE_P(Forms,
    EndlessStreamsTest,
    testing::Values(EndlessForm{"one_chunk_200", "200 OK", oneChunk, text},
        EndlessForm{"one_chunk_500", "500 X", oneChunk, text},
        EndlessForm{"one_chunk_404", "404 X", oneChunk, text},
        EndlessForm{"no_length_200", "200 OK", unframed, text},
        EndlessForm{"no_length_500", "500 X", unframed, text},
        EndlessForm{"one_byte_chunks_200", "200 OK", chunked, smallChunk},
        EndlessForm{"one_byte_chunks_500", "500 X", chunked, smallChunk},
        EndlessForm{"no_event_200", "200 OK", chunked, noEvent},
        EndlessForm{"no_event_500", "500 X", chunked, noEvent},
        EndlessForm{"events_200", "200 OK", chunked, wholeEvents},
        EndlessForm{"events_500", "500 X", chunked, wholeEvents}),
    [](const testing::TestParamInfo<EndlessForm> &form) { return std::string(form.param.name); });

} // namespace

} // namespace Verbena::Test
