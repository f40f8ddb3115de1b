#include "relaytest.h"

namespace Verbena::Relay {

namespace {

using Test::chunk;
using Test::contains;
using Test::event;
using Test::streamHead;
using Test::unframedHead;
using Test::WorkerScript;

constexpr const char *lastChunk = "\r\n0\r\n\r\n";

class BrokenOffAnswersTest : public Test::RelayTest
{
protected:
    // Starts with two backend servers whose first answer ends with its connection after \a body; the second one is a whole stream.
    void startWithUnframedAnswer(const std::string &body)
    {
        const auto script = [this, body](const auto &head, const auto &) {
            if (runs() == 1) {
                return WorkerScript{unframedHead(head) + body, WorkerScript::End::Close};
            }
            return WorkerScript{streamHead(head) + chunk(event(2)) + "0\r\n\r\n"};
        };
        start(script);
        addWorker(script);
    }
};

// A stream without a length that a backend server broke off inside an event reached its caller with a closing chunk.
TEST_F(BrokenOffAnswersTest, doesNotFrameAStreamThatIsClosedInsideAnEventAsComplete)
{
    startWithUnframedAnswer(event(1) + "id: 2\nda");
    const std::string got = call(request("/stream/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_FALSE(contains(got, lastChunk)) << got;
    EXPECT_EQ(runs(), 1U);
}

// The same on a route whose streams another backend server may continue.
TEST_F(BrokenOffAnswersTest, continuesAStreamThatIsClosedInsideAnEvent)
{
    startWithUnframedAnswer(event(1) + "id: 2\nda");
    const std::string got = call(request("/resume/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_TRUE(contains(got, event(2))) << got;
    EXPECT_EQ(got.find("id: 2"), got.rfind("id: 2"));
    EXPECT_EQ(runs(), 2U);
}

TEST_F(BrokenOffAnswersTest, completesAStreamThatIsClosedBetweenEvents)
{
    startWithUnframedAnswer(event(1));
    const std::string got = call(request("/stream/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_TRUE(contains(got, lastChunk)) << got;
}

TEST_F(BrokenOffAnswersTest, completesAResumableStreamThatIsClosedBetweenEvents)
{
    startWithUnframedAnswer(event(1));
    const std::string got = call(request("/resume/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_TRUE(contains(got, lastChunk)) << got;
    EXPECT_EQ(runs(), 1U);
}

} // namespace

} // namespace Verbena::Relay
