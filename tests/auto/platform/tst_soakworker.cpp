#include <soak/requestform.h>
#include <soak/soakroutes.h>
#include <soak/soakworker.h>

#include <platform/workerfake.h>

#include <gtest/gtest.h>

namespace Verbena::Test {

namespace {

constexpr int mostIterations = 200;

// A backend server of the soak and a caller with one request, on one loop.
struct CrashingServer
{
    explicit CrashingServer(const std::string &path)
    {
        const std::string instance = "Verbenaladder-Expect-Instance: " + server.id() + "\r\n";
        caller.send(Soak::headText({path, id, instance, Soak::deadlineOf(path), body}, Soak::RequestForm::Plain) + body);
    }

    bool isAnswered(const std::string &end) const
    {
        return caller.received().ends_with(end);
    }

    const std::string id = "c.1";
    const std::string body = "token";
    std::unique_ptr<EventLoop::Loop> loop = std::move(EventLoop::Loop::create().value());
    Soak::Ledger ledger{[this] {
        return loop->now();
    }};
    Decisions::RandomSource random{1};
    Soak::SoakWorker server{*loop, "127.0.0.1", {"w", true, "v1"}, ledger, random};
    CallerFake caller{*loop, Http::Endpoint::parse(server.address()).value()};
};

// Crashes a server after each number of iterations of its loop until its answer, which ends with \a end, comes first.
void crashAtEachMoment(const std::string &path, const std::string &end)
{
    bool isAnswered = false;
    for (int iterations = 1; iterations < mostIterations && !isAnswered; ++iterations) {
        CrashingServer world(path);
        for (int iteration = 0; iteration < iterations; ++iteration) {
            world.loop->runOnce();
        }
        isAnswered = world.isAnswered(end);
        world.server.crash();
        ASSERT_TRUE(runUntil(*world.loop, [&] { return world.caller.isClosed(); }));
        const bool isBrokenOff = world.ledger.isBrokenOff(world.id);
        EXPECT_TRUE(world.isAnswered(end) || isBrokenOff || !world.ledger.hasReachedServer(world.id)) << "crashed after " << iterations << " iterations";
        EXPECT_FALSE(world.isAnswered(end) && isBrokenOff) << "crashed after " << iterations << " iterations";
    }
    EXPECT_TRUE(isAnswered);
}

} // namespace

// A crash keeps an answer back that is written and has not left.
TEST(SoakWorkerTest, crashKeepsAWrittenAnswerBack)
{
    crashAtEachMoment("/safe/", Soak::answerText("token"));
}

// A crash keeps the end of a stream back that is written and has not left.
TEST(SoakWorkerTest, crashKeepsAWrittenEndOfAStreamBack)
{
    crashAtEachMoment("/resume/", "\r\n0\r\n\r\n");
}

} // namespace Verbena::Test
