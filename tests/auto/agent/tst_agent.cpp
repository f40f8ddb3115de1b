#include "agentharness.h"

#include <standin/answertext.h>

#include <gtest/gtest.h>

#include <csignal>

namespace Verbena::Test {

namespace {

using verbena::wire::Dispatch;

const std::vector<std::string> quickEngine{"--decode-interval-us", "1000", "--prefill-rate", "1000000"};
const std::vector<std::string> slowEngine{"--decode-interval-us", "20000", "--prefill-rate", "1000000"};
// An answer that no test waits for the end of.
constexpr std::uint32_t manyTokens = 100000;

std::string answer(const std::string &prompt, std::uint32_t tokens)
{
    return Standin::AnswerText(prompt).firstTokens(tokens);
}

Dispatch serviceCall(const std::string &request)
{
    Dispatch dispatch = completion(request, "", 0);
    dispatch.set_kind(verbena::wire::RUN_KIND_SERVICE_CALL);
    dispatch.set_path("/append");
    dispatch.set_body("{}");
    dispatch.set_idempotent(false);
    return dispatch;
}

TEST(AgentTest, streamsAWholeAnswerInOrderWithItsUsage)
{
    AgentHarness harness("engine", quickEngine);
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(completion("r1", "piezometer", 50));
    ReceivedAttempt &received = router->attempt("r1");
    ASSERT_TRUE(harness.runUntil([&] { return received.isOver(); }));
    ASSERT_TRUE(received.ended);
    EXPECT_TRUE(received.isAdmitted);
    EXPECT_TRUE(received.isInOrder);
    EXPECT_EQ(received.ended->kind(), verbena::wire::END_KIND_COMPLETE);
    EXPECT_EQ(received.text, answer("piezometer", 50));
    EXPECT_EQ(received.tokens, 50U);
    EXPECT_EQ(received.ended->completion_tokens(), 50U);
    EXPECT_EQ(received.ended->finish_reason(), "length");
    const std::string metrics = harness.metrics();
    EXPECT_NE(metrics.find("verbena_agent_started_total 1"), std::string::npos) << metrics;
    EXPECT_NE(metrics.find("verbena_agent_first_token_seconds_bucket{"), std::string::npos);
}

TEST(AgentTest, resumesAfterWhatTheCallerHas)
{
    AgentHarness harness("engine", quickEngine);
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    Dispatch dispatch = completion("r1", "seepage", 30);
    dispatch.set_attempt(2);
    dispatch.set_resume_tokens(10);
    dispatch.set_resume_text(answer("seepage", 10));
    router->dispatch(dispatch);
    ReceivedAttempt &received = router->attempt("r1", 2);
    ASSERT_TRUE(harness.runUntil([&] { return received.isOver(); }));
    EXPECT_EQ(answer("seepage", 10) + received.text, answer("seepage", 30));
}

TEST(AgentTest, runsADispatchThatComesTwiceOnce)
{
    AgentHarness harness("engine", quickEngine);
    const auto router = harness.connect();
    const auto other = harness.connect();
    ASSERT_TRUE(router && other);
    router->dispatch(completion("r1", "a", 40));
    router->dispatch(completion("r1", "a", 40));
    // Messages of two connections may overtake each other, and the first copy has to be the router's.
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isAdmitted; }));
    other->dispatch(completion("r1", "a", 40));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isOver() && other->attempt("r1").isOver(); }));
    router->dispatch(completion("r1", "a", 40));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").refused.has_value(); }));
    EXPECT_EQ(router->attempt("r1").text, answer("a", 40));
    EXPECT_EQ(router->attempt("r1").refused->reason(), verbena::wire::REFUSAL_REASON_DUPLICATE);
    EXPECT_EQ(other->attempt("r1").refused->reason(), verbena::wire::REFUSAL_REASON_DUPLICATE);
    EXPECT_EQ(harness.runCount("r1"), 1U);
}

TEST(AgentTest, cancelsAtTheRoutersWordAndWhenTheRouterIsGone)
{
    AgentHarness harness("engine", slowEngine);
    auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(completion("r1", "a", manyTokens));
    router->dispatch(completion("r2", "b", manyTokens));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").tokens > 0 && router->attempt("r2").tokens > 0; }));
    router->cancel("r1");
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isOver(); }));
    EXPECT_EQ(router->attempt("r1").ended->kind(), verbena::wire::END_KIND_CANCELLED);
    router.reset();
    EXPECT_TRUE(harness.runUntil([&] { return harness.status()["attempts"] == 0; }));
    EXPECT_TRUE(harness.runUntil([&] {
        const nlohmann::json runs = harness.runs();
        return runs[0]["state"] == "cancelled" && runs[1]["state"] == "cancelled";
    }));
}

TEST(AgentTest, startsALaterAttemptOnlyAfterTheCancelOfTheEarlierOne)
{
    AgentHarness harness("engine", slowEngine);
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(completion("r1", "a", manyTokens));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").tokens > 0; }));
    Dispatch second = completion("r1", "a", 5);
    second.set_attempt(2);
    router->cancel("r1");
    router->dispatch(second);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1", 2).isOver(); }));
    EXPECT_EQ(router->attempt("r1", 2).text, answer("a", 5));
}

TEST(AgentTest, holdsTheEngineBackWhileTheRouterGivesNoCredit)
{
    AgentHarness harness("engine", {"--decode-interval-us", "0", "--prefill-rate", "1000000"});
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    Dispatch dispatch = completion("r1", "a", 20000);
    dispatch.set_frame_credit(2);
    router->dispatch(dispatch);
    ReceivedAttempt &received = router->attempt("r1");
    ASSERT_TRUE(harness.runUntil([&] { return received.frames == 2 && harness.status()["buffered_bytes"] > 16 * 1024; }));
    // No further frame came while the whole answer, several times as long, was ready at the engine.
    EXPECT_LT(harness.status()["buffered_bytes"], 64 * 1024);
    EXPECT_EQ(received.frames, 2U);
    ASSERT_TRUE(harness.runUntil([&] {
        router->grant("r1", 1);
        return received.isOver();
    }));
    EXPECT_TRUE(received.isInOrder);
    EXPECT_EQ(received.text, answer("a", 20000));
}

TEST(AgentTest, refusesWhatCannotBeSentAndTellsLossFromRefusal)
{
    AgentHarness harness("engine", quickEngine);
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    harness.setFaults(R"({"cut_after_tokens": 5, "times": 1})");
    router->dispatch(completion("cut", "a", 20));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("cut").isOver(); }));
    EXPECT_EQ(router->attempt("cut").ended->kind(), verbena::wire::END_KIND_ENGINE_LOST);
    EXPECT_EQ(router->attempt("cut").text, answer("a", 5));

    harness.setFaults(R"({"lose_answer": true, "times": 1})");
    router->dispatch(completion("lost", "b", 20));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("lost").isOver(); }));
    EXPECT_EQ(router->attempt("lost").ended->kind(), verbena::wire::END_KIND_ENGINE_LOST);

    harness.backend.reset();
    router->dispatch(completion("down", "c", 20));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("down").isOver(); }));
    EXPECT_EQ(router->attempt("down").refused->reason(), verbena::wire::REFUSAL_REASON_ENGINE_DOWN);
}

TEST(AgentTest, noticesAnEngineThatComesBackEmpty)
{
    AgentHarness harness("engine", {"--decode-interval-us", "1000", "--prefill-rate", "1000000", "--event-delay-ms", "1"});
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    Dispatch dispatch = completion("r1", std::string(40000, 'x'), 3);
    dispatch.add_prefix_keys(11);
    dispatch.add_prefix_keys(12);
    router->dispatch(dispatch);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isOver(); }));
    const auto warmPieces = [&] {
        verbena::wire::Envelope envelope;
        envelope.mutable_probe()->add_prefix_keys(11);
        envelope.mutable_probe()->add_prefix_keys(12);
        router->probeReply.reset();
        router->send(envelope);
        harness.runUntil([&] { return router->probeReply.has_value(); });
        return router->probeReply->warm_pieces();
    };
    ASSERT_EQ(warmPieces(), 2U);
    const nlohmann::json before = harness.status()["backend_incarnation"];
    harness.startBackend(harness.backendPort());
    ASSERT_TRUE(harness.runUntil([&] { return harness.status()["backend_incarnation"] != before; }));
    EXPECT_EQ(warmPieces(), 0U);
    router->dispatch(completion("r2", "b", 3));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r2").ended.has_value(); }));
}

TEST(AgentTest, givesUpOnAHungEngine)
{
    AgentHarness harness("engine", slowEngine, "watch: {load_interval: 20ms, hang_timeout: 200ms}\n");
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(completion("r1", "a", manyTokens));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").tokens > 0; }));
    harness.backend->sendSignal(SIGSTOP);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isOver(); }));
    EXPECT_EQ(router->attempt("r1").ended->kind(), verbena::wire::END_KIND_ENGINE_LOST);
    router->dispatch(completion("r2", "b", 3));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r2").isOver(); }));
    EXPECT_EQ(router->attempt("r2").refused->reason(), verbena::wire::REFUSAL_REASON_ENGINE_DOWN);
    harness.backend->sendSignal(SIGCONT);
    EXPECT_TRUE(harness.runUntil([&] { return harness.status()["backend_up"] == true; }));
}

TEST(AgentTest, sendsNothingMoreToAHungEngine)
{
    AgentHarness harness("engine", slowEngine, "watch: {load_interval: 20ms, hang_timeout: 200ms}\nlimits: {running: 1}\n");
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(completion("running", "a", manyTokens));
    router->dispatch(completion("queued", "b", 3));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("running").tokens > 0 && router->attempt("queued").isAdmitted; }));
    harness.backend->sendSignal(SIGSTOP);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("running").isOver() && router->attempt("queued").isOver(); }));
    EXPECT_EQ(router->attempt("running").ended->kind(), verbena::wire::END_KIND_ENGINE_LOST);
    ASSERT_TRUE(router->attempt("queued").refused);
    EXPECT_EQ(router->attempt("queued").refused->reason(), verbena::wire::REFUSAL_REASON_ENGINE_DOWN);
    harness.backend->sendSignal(SIGCONT);
    EXPECT_TRUE(harness.runUntil([&] { return harness.status()["backend_up"] == true; }));
    EXPECT_EQ(harness.runCount("queued"), 0U);
}

TEST(AgentTest, finishesWhatRunsAndRefusesTheRestAtSigterm)
{
    AgentHarness harness("engine", slowEngine, "limits: {running: 1}\n");
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(completion("running", "a", 40));
    router->dispatch(completion("queued", "b", 40));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("running").tokens > 0 && router->attempt("queued").isAdmitted; }));
    harness.agent->sendSignal(SIGTERM);
    ASSERT_TRUE(harness.runUntil([&] { return router->welcome && router->welcome->load().leaving() && router->attempt("queued").isOver(); }));
    EXPECT_EQ(router->attempt("queued").refused->reason(), verbena::wire::REFUSAL_REASON_LEAVING);
    router->dispatch(completion("late", "c", 40));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("late").isOver() && router->attempt("running").isOver(); }));
    EXPECT_EQ(router->attempt("late").refused->reason(), verbena::wire::REFUSAL_REASON_LEAVING);
    EXPECT_EQ(router->attempt("running").text, answer("a", 40));
    EXPECT_EQ(harness.agent->waitForExit(), 0);
}

// An agent that was asked to end went on as long as its longest run, whatever its starter allowed.
TEST(AgentTest, cancelsWhatRunsWhenItsTimeToLeaveIsOver)
{
    AgentHarness harness("engine", slowEngine, "leave_timeout: 300ms\n");
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(completion("running", "a", manyTokens));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("running").tokens > 0; }));
    harness.agent->sendSignal(SIGTERM);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("running").isOver(); }));
    EXPECT_EQ(router->attempt("running").ended->kind(), verbena::wire::END_KIND_CANCELLED);
    EXPECT_EQ(harness.agent->waitForExit(), 0);
}

// A router that had granted no credit for the rest of a finished answer waited for it in vain.
TEST(AgentTest, tellsThatAFinishedAnswerIsLostWhenItsTimeToLeaveIsOver)
{
    AgentHarness harness("engine", quickEngine, "leave_timeout: 300ms\nleave_grace: 0us\n");
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    Dispatch dispatch = completion("r1", "a", 50);
    dispatch.set_frame_credit(2);
    router->dispatch(dispatch);
    ASSERT_TRUE(harness.runUntil([&] { return harness.metrics().find("verbena_agent_ended_total 1") != std::string::npos; }));
    harness.agent->sendSignal(SIGTERM);
    const ReceivedAttempt &received = router->attempt("r1");
    EXPECT_TRUE(harness.runUntil([&] { return received.isOver() || !harness.agent->isRunning(); }));
    ASSERT_TRUE(received.ended);
    EXPECT_EQ(received.ended->kind(), verbena::wire::END_KIND_ENGINE_LOST);
    EXPECT_TRUE(received.isInOrder);
    EXPECT_EQ(harness.agent->waitForExit(), 0);
}

// An agent that had nothing to do warned of runs that it gave up.
TEST(AgentTest, warnsOfNoRunsGivenUpWhenNothingRuns)
{
    testing::internal::CaptureStderr();
    AgentHarness harness("engine", quickEngine, "leave_timeout: 100ms\nleave_grace: 500ms\n");
    harness.agent->sendSignal(SIGTERM);
    EXPECT_EQ(harness.agent->waitForExit(), 0);
    const std::string events = testing::internal::GetCapturedStderr();
    EXPECT_NE(events.find("agent_leaving"), std::string::npos) << events;
    EXPECT_EQ(events.find("runs_given_up"), std::string::npos) << events;
}

TEST(AgentTest, endsARunAtItsDeadline)
{
    AgentHarness harness("engine", slowEngine);
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    Dispatch dispatch = completion("r1", "a", manyTokens);
    dispatch.set_deadline_left_us(300000);
    router->dispatch(dispatch);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isOver(); }));
    EXPECT_EQ(router->attempt("r1").ended->kind(), verbena::wire::END_KIND_DEADLINE);
    EXPECT_TRUE(router->attempt("r1").isInOrder);
}

TEST(AgentTest, refusesADispatchMeantForAnEarlierLifeOfTheAgent)
{
    AgentHarness harness("engine", quickEngine);
    auto router = harness.connect();
    ASSERT_TRUE(router);
    Dispatch dispatch = completion("r1", "a", 3);
    dispatch.set_expected_incarnation(router->welcome->incarnation());
    harness.startAgent();
    router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(dispatch);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isOver(); }));
    EXPECT_EQ(router->attempt("r1").refused->reason(), verbena::wire::REFUSAL_REASON_INCARNATION);
    EXPECT_EQ(harness.runCount("r1"), 0U);
}

TEST(AgentTest, passesServiceCallsOnAndRunsEachAtMostOnce)
{
    AgentHarness harness("service", {});
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(serviceCall("r1"));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isOver(); }));
    EXPECT_EQ(router->attempt("r1").ended->kind(), verbena::wire::END_KIND_COMPLETE);
    EXPECT_EQ(router->attempt("r1").ended->status(), 200);
    EXPECT_EQ(router->attempt("r1").ended->content_type(), "application/json");
    EXPECT_EQ(nlohmann::json::parse(router->attempt("r1").text)["call"], "append");

    harness.setFaults(R"({"lose_answer": true, "times": 1})");
    router->dispatch(serviceCall("r2"));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r2").isOver(); }));
    EXPECT_EQ(router->attempt("r2").ended->kind(), verbena::wire::END_KIND_ENGINE_LOST);
    Dispatch again = serviceCall("r2");
    again.set_attempt(2);
    router->dispatch(again);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r2", 2).isOver(); }));
    EXPECT_EQ(router->attempt("r2", 2).refused->reason(), verbena::wire::REFUSAL_REASON_DUPLICATE);
    EXPECT_EQ(harness.runCount("r2"), 1U);
}

TEST(AgentTest, letsInRoutersByKeyAndReadsTheKeysAgain)
{
    const TemporaryFolder folder;
    const Wire::CurveKeys agentKeys = Wire::CurveKeys::generate().value();
    const Wire::CurveKeys known = Wire::CurveKeys::generate().value();
    const Wire::CurveKeys unknown = Wire::CurveKeys::generate().value();
    const std::string allowed = folder.write("allowed", known.publicKey + "\n");
    AgentHarness harness(
        "engine", quickEngine, "security: {secret_key_file: " + folder.write("secret", agentKeys.secretKey) + ", allowed_keys_file: " + allowed + "}\n");
    EXPECT_TRUE(harness.connect({known.publicKey, known.secretKey, agentKeys.publicKey}));
    FakeRouter stranger(*harness.loop, harness.endpoint, {unknown.publicKey, unknown.secretKey, agentKeys.publicKey});
    stranger.sendHello();
    EXPECT_TRUE(harness.runUntil([&] {
        stranger.sendHello();
        return harness.status()["refused_peers"] > 0;
    }));
    EXPECT_FALSE(stranger.welcome);
    folder.write("allowed", known.publicKey + "\n" + unknown.publicKey + "\n");
    harness.agent->sendSignal(SIGHUP);
    EXPECT_TRUE(harness.runUntil([&] {
        stranger.sendHello();
        return stranger.welcome.has_value();
    }));
}

TEST(AgentTest, isPausedAndGoesOnWithoutADoubledOrBrokenRun)
{
    AgentHarness harness("engine", slowEngine);
    const auto router = harness.connect();
    ASSERT_TRUE(router);
    router->dispatch(completion("r1", "a", 100));
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").tokens > 0; }));
    harness.agent->sendSignal(SIGSTOP);
    ASSERT_TRUE(harness.runUntil([&] { return harness.runs()[0]["state"] == "finished"; }));
    harness.agent->sendSignal(SIGCONT);
    ASSERT_TRUE(harness.runUntil([&] { return router->attempt("r1").isOver(); }));
    EXPECT_EQ(router->attempt("r1").text, answer("a", 100));
    EXPECT_TRUE(router->attempt("r1").isInOrder);
    EXPECT_EQ(harness.runCount("r1"), 1U);
}

} // namespace

} // namespace Verbena::Test
