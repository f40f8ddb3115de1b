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
    const char *answerBeside = "HTTP/1.1 200"; ///< Begin of the answer to another request to the same server.
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
};

// Answers without an end made a router outgrow its host, with all that ran on it.
TEST_P(EndlessStreamsTest, outgrowTheHost)
{
    std::vector<std::unique_ptr<CallerFake>> asked;
    for (std::size_t number = 0; number < callers; ++number) {
        asked.push_back(ask("/brief/a"));
    }
    expectWithinHost(playTime, [&asked] { std::for_each(asked.begin(), asked.end(), [](const auto &caller) { caller->forgetReceived(); }); });
    EXPECT_TRUE(askShort().starts_with(GetParam().answerBeside));
}

constexpr const char *chunked = "Transfer-Encoding: chunked\r\n\r\n";
constexpr const char *oneChunk = "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n";
constexpr const char *unframed = "\r\n";
constexpr const char *fieldLine = "X: ";
constexpr const char *hugeLength = "Content-Length: 99999999999\r\n\r\n";
constexpr const char *junk = "zz junk ";
constexpr const char *text = "xxxxxxxxxxxxxxxx";
constexpr const char *smallChunk = "1\r\nx\r\n";
constexpr const char *noEvent = "9\r\ndata: xyz\r\n";
constexpr const char *wholeEvents = "14\r\nid: 1\ndata: answer\n\n\r\n";

// The only server has brought no part of any answer and is left alone for a while.
constexpr const char *refused = "HTTP/1.1 503";

INSTANTIATE_TEST_SUITE_P(Forms,
    EndlessStreamsTest,
    testing::Values(EndlessForm{"field_line_200", "200 OK", fieldLine, text, refused},
        EndlessForm{"field_line_500", "500 X", fieldLine, text, refused},
        EndlessForm{"chunk_size_junk_200", "200 OK", chunked, junk, refused},
        EndlessForm{"chunk_size_junk_500", "500 X", chunked, junk, refused},
        EndlessForm{"huge_length_200", "200 OK", hugeLength, text},
        EndlessForm{"huge_length_500", "500 X", hugeLength, text},
        EndlessForm{"one_chunk_200", "200 OK", oneChunk, text},
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
