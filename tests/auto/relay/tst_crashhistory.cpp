#include "crashmodel.h"

#include <decisions/relay/crashrow.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

using Verbena::Test::CrashModel;

constexpr Core::TimePoint start{1h};

CrashSubject request(const std::string &body, const std::string &organisation = "dams")
{
    return CrashSubject::ofRequest({organisation, "POST", "x", "/p", body});
}

CrashRecord crash(const std::string &body, const std::string &server, const std::string &organisation = "dams")
{
    return {request(body, organisation), server, organisation};
}

// One crash must not count several times when several attempts, routers or retries of callers observe it.
TEST(CrashHistoryTest, countsACrashOnceForAllObservers)
{
    CrashHistory history;
    EXPECT_TRUE(history.record(crash("a", "s1"), start));
    EXPECT_FALSE(history.record(crash("a", "s1"), start + 1s));
    EXPECT_EQ(history.crashCount(request("a")), 1U);
    EXPECT_FALSE(history.isSuspected(request("a")));
    EXPECT_TRUE(history.record(crash("a", "s1-next-incarnation"), start + 2s));
    EXPECT_TRUE(history.isSuspected(request("a")));
}

// Requests that only ran beside the crashing one, or were hit by crashes with another cause, must not stay suspected.
TEST(CrashHistoryTest, clearsARequestWithItsFirstSuccess)
{
    CrashHistory history;
    history.record(crash("a", "s1"), start);
    history.record(crash("a", "s2"), start);
    history.setTrials(request("a"), 1, 7, start);
    EXPECT_EQ(history.clear(request("a"), start).size(), 2U);
    EXPECT_FALSE(history.isSuspected(request("a")));
    EXPECT_EQ(history.trials(request("a")).count, 0U);
    EXPECT_FALSE(history.record(crash("a", "s1"), start + 1s)) << "reported late by another router";
    EXPECT_TRUE(history.isEmpty());
}

// A caller must not be able to get another organisation's request refused by sending the same bytes.
TEST(CrashHistoryTest, separatesEqualRequestsOfDifferentOrganisations)
{
    CrashHistory history;
    history.record(crash("a", "s1", "dams"), start);
    history.record(crash("a", "s2", "dams"), start);
    EXPECT_TRUE(history.isSuspected(request("a", "dams")));
    EXPECT_FALSE(history.isSuspected(request("a", "roads")));
    EXPECT_NE(CrashSubject::ofRequest({"a", "", "", "", "b"}), CrashSubject::ofRequest({"", "", "", "", "ab"}));
}

// Many different requests of one organisation must not evict the records of others or its own suspected requests.
TEST(CrashHistoryTest, keepsSuspectedRequestsWhenOthersAreEvicted)
{
    CrashHistory history;
    for (const char *organisation : {"dams", "roads"}) {
        history.record(crash("bad", "s1", organisation), start);
        history.record(crash("bad", "s2", organisation), start);
    }
    for (int count = 0; count < 5000; ++count) {
        history.record(crash(std::to_string(count), "s3", "dams"), start + std::chrono::seconds(count % 60));
    }
    EXPECT_TRUE(history.isSuspected(request("bad", "dams")));
    EXPECT_TRUE(history.isSuspected(request("bad", "roads")));
    EXPECT_EQ(history.suspectedRecords(10).size(), 4U);
}

// A request that is removed before its next trial would start again without any record.
TEST(CrashHistoryTest, retainsASuspectedRequestUntilItsNextTrial)
{
    CrashHistory history;
    history.record(crash("a", "s1"), start);
    history.record(crash("a", "s2"), start);
    history.record(crash("beside", "s2"), start);
    for (std::uint32_t count = 1; count < 9; ++count) {
        history.setTrials(request("a"), count, count, start);
        EXPECT_GT(history.trials(request("a")).nextTrialAt, start + 9s);
        EXPECT_TRUE(history.expire(history.trials(request("a")).nextTrialAt).empty() || count > 2);
        EXPECT_TRUE(history.isSuspected(request("a")));
    }
}

TEST(CrashHistoryTest, removesExpiredRecords)
{
    CrashHistory history;
    history.record(crash("a", "s1"), start);
    EXPECT_EQ(history.expire(start + 1h).size(), 1U);
    EXPECT_TRUE(history.isEmpty());
}

// Rows of another kind must not be decoded as crashes.
TEST(CrashRowTest, decodesEncodedRowsOnly)
{
    const CrashRecord record = crash("a", "i-1.0");
    const auto read = decodeCrashRow(crashRowKey(record), record.organisation);
    ASSERT_TRUE(read);
    EXPECT_EQ(std::get<CrashRecord>(read.value()).key(), record.key());
    const auto trials = decodeCrashRow(trialRowKey(record.subject), "3");
    ASSERT_TRUE(trials);
    EXPECT_EQ(std::get<TrialCount>(trials.value()).count, 3U);
    for (const char *key : {"", "crash.", "crash.00", "trial.zz", "other.00112233445566778899aabbccddeeff.s"}) {
        EXPECT_FALSE(decodeCrashRow(key, "")) << key;
    }
    EXPECT_FALSE(decodeCrashRow(trialRowKey(record.subject), "3x"));
    EXPECT_FALSE(decodeCrashRow(crashRowKey(record).substr(0, crashRowKey(record).size() - 6), ""));
}

// Rows of parts must not be taken for rows of whole requests.
TEST(CrashRowTest, tellsPartsFromRequests)
{
    const CrashRecord record{CrashSubject::ofPromptPart("dams", "a"), "i-1.0", "dams"};
    const auto read = decodeCrashRow(crashRowKey(record), record.organisation);
    ASSERT_TRUE(read);
    EXPECT_EQ(std::get<CrashRecord>(read.value()).key(), record.key());
    EXPECT_EQ(std::get<CrashRecord>(read.value()).subject.kind(), CrashSubject::Kind::PromptPart);
    EXPECT_TRUE(decodeCrashRow(trialRowKey(record.subject), "1"));
    EXPECT_FALSE(decodeCrashRow("crash.part-00.i-1", ""));
    EXPECT_FALSE(decodeCrashRow(trialRowKey(record.subject) + ".i-1", "1"));
}

// The last part of a prompt belongs to one request, and a caller that names many parts must not fill the records.
TEST(CrashSubjectTest, takesTheSharedPartsOfAPromptUpToALimit)
{
    PromptOutline prompt;
    prompt.parts = {{"first", 1}, {"second", 1}, {"own", 1}};
    const std::vector<CrashSubject> subjects = crashSubjects({"dams", "POST", "x", "/p", "a"}, &prompt);
    ASSERT_EQ(subjects.size(), 3U);
    EXPECT_EQ(subjects[0], request("a"));
    EXPECT_EQ(subjects[2], CrashSubject::ofPromptPart("dams", "second"));
    EXPECT_NE(subjects[2], CrashSubject::ofPromptPart("roads", "second"));
    prompt.parts.resize(1000);
    EXPECT_LT(crashSubjects({"dams", "POST", "x", "/p", "a"}, &prompt).size(), 20U);
    EXPECT_EQ(crashSubjects({"dams", "POST", "x", "/p", "a"}, nullptr).size(), 1U);
}

// A failed trial of a request with several suspects must not hold back those that others share.
TEST(CrashHistoryTest, countsATrialForTheStrongestSuspectOnly)
{
    const CrashSubject shared = CrashSubject::ofPromptPart("dams", "shared");
    const CrashSubject bad = CrashSubject::ofPromptPart("dams", "bad");
    CrashHistory history;
    for (const char *server : {"s1", "s2"}) {
        history.record({shared, server, "dams"}, start);
        history.record({bad, server, "dams"}, start);
    }
    EXPECT_EQ(history.trialSubject({shared, bad}), bad) << "fewer requests share a later part";
    history.record({shared, "s3", "dams"}, start);
    EXPECT_EQ(history.trialSubject({shared, bad}), shared);
    history.setTrials(bad, 1, 7, start);
    EXPECT_GT(history.nextTrialTime({shared, bad}), start);
    EXPECT_LE(history.nextTrialTime({shared}), start);
}

// A part that all requests share failed its only trial for half a minute, as the crashing part was tried on the same server, and no request was served.
TEST(CrashHistoryTest, holdsBackASharedPartForCrashesOfAnother)
{
    const CrashSubject shared = CrashSubject::ofPromptPart("dams", "shared");
    const CrashSubject bad = CrashSubject::ofPromptPart("dams", "bad");
    CrashHistory history;
    for (const CrashSubject &subject : {shared, bad}) {
        history.record({subject, "s1", "dams"}, start);
        history.record({subject, "s2", "dams"}, start);
        history.setTrials(subject, history.nextTrialCount(subject, {shared}), 7, start);
        history.record({subject, "s3", "dams"}, start);
    }
    EXPECT_LE(history.nextTrialTime({shared}), start + 2s);
    EXPECT_GT(history.nextTrialTime({shared}), start) << "one trial at a time";
    EXPECT_EQ(history.nextTrialCount(shared, {shared}), 1U);
    EXPECT_GE(history.nextTrialTime({shared, bad}), start + 30s) << "the request holds both";
    history.record({shared, "s4", "dams"}, start + 1s);
    EXPECT_GE(history.nextTrialTime({shared}), start + 30s) << "a crash without the other";
    EXPECT_EQ(history.nextTrialCount(shared, {shared}), 2U);
}

// For any sequence of kills and lost connections, connected routers must not send a request that crashes its servers to more of them than trials allow.
TEST(CrashModelTest, allowsAtMostThreeRetriesAfterTheThirdCrash)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        CrashModel model(seed, CrashModel::Kind::Request);
        model.run();
        RC_ASSERT(model.retries() <= 3);
    }));
}

// Requests that only ran beside crashes must not stay refused.
TEST(CrashModelTest, clearsARequestThatOnlyRanBesideCrashes)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        CrashModel model(seed, CrashModel::Kind::Request);
        model.run();
        RC_ASSERT(model.routersSuspectingInnocent() == 0);
    }));
}

// Requests of which no two are alike must not reach servers again and again for a part that they share.
TEST(CrashModelTest, allowsAtMostThreeRetriesOfAPartAfterTheFifthCrash)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        CrashModel model(seed, CrashModel::Kind::PromptPart);
        model.run();
        RC_ASSERT(model.retries() <= 3);
    }));
}

// Parts that sound requests share with crashing ones must not stay refused.
TEST(CrashModelTest, clearsPartsThatOnlyRanBesideCrashes)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        CrashModel model(seed, CrashModel::Kind::PromptPart);
        model.run();
        RC_ASSERT(model.routersSuspectingInnocent() == 0);
    }));
}

} // namespace

} // namespace Verbena::Decisions
