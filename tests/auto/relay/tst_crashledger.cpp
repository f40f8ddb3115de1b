#include "crashmodel.h"

#include <decisions/relay/crashrow.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

using Verbena::Test::CrashModel;

constexpr Core::TimePoint start{1h};

RequestIdentity request(const std::string &body, const std::string &organisation = "dams")
{
    return RequestIdentity::of({organisation, "POST", "x", "/p", body});
}

CrashRecord crash(const std::string &body, const std::string &server, const std::string &organisation = "dams")
{
    return {request(body, organisation), server, organisation};
}

// Attempts, routers and callers' repeats that saw the same server end were taken for several crashes.
TEST(CrashLedgerTest, countsACrashOnceHoweverManySawIt)
{
    CrashLedger ledger;
    EXPECT_TRUE(ledger.note(crash("a", "s1"), start));
    EXPECT_FALSE(ledger.note(crash("a", "s1"), start + 1s));
    EXPECT_EQ(ledger.crashes(request("a")), 1U);
    EXPECT_FALSE(ledger.isSuspected(request("a")));
    EXPECT_TRUE(ledger.note(crash("a", "s1-next-life"), start + 2s));
    EXPECT_TRUE(ledger.isSuspected(request("a")));
}

// Requests that only ran beside the guilty one, or were hit by crashes with another cause, were held against their callers.
TEST(CrashLedgerTest, freesARequestWithItsFirstSuccess)
{
    CrashLedger ledger;
    ledger.note(crash("a", "s1"), start);
    ledger.note(crash("a", "s2"), start);
    ledger.noteTrials(request("a"), 1, 7, start);
    EXPECT_EQ(ledger.clear(request("a"), start).size(), 2U);
    EXPECT_FALSE(ledger.isSuspected(request("a")));
    EXPECT_EQ(ledger.trials(request("a")).count, 0U);
    EXPECT_FALSE(ledger.note(crash("a", "s1"), start + 1s)) << "told late by somebody else";
    EXPECT_TRUE(ledger.isEmpty());
}

// A caller could have another organisation's request turned away by sending the same bytes.
TEST(CrashLedgerTest, keepsEqualRequestsOfOrganisationsApart)
{
    CrashLedger ledger;
    ledger.note(crash("a", "s1", "dams"), start);
    ledger.note(crash("a", "s2", "dams"), start);
    EXPECT_TRUE(ledger.isSuspected(request("a", "dams")));
    EXPECT_FALSE(ledger.isSuspected(request("a", "roads")));
    EXPECT_NE(RequestIdentity::of({"a", "", "", "", "b"}), RequestIdentity::of({"", "", "", "", "ab"}));
}

// Many different requests of one organisation pushed out what was known of others, and of its own worst.
TEST(CrashLedgerTest, keepsSuspicionsWhateverElseIsSent)
{
    CrashLedger ledger;
    for (const char *organisation : {"dams", "roads"}) {
        ledger.note(crash("bad", "s1", organisation), start);
        ledger.note(crash("bad", "s2", organisation), start);
    }
    for (int count = 0; count < 5000; ++count) {
        ledger.note(crash(std::to_string(count), "s3", "dams"), start + std::chrono::seconds(count % 60));
    }
    EXPECT_TRUE(ledger.isSuspected(request("bad", "dams")));
    EXPECT_TRUE(ledger.isSuspected(request("bad", "roads")));
    EXPECT_EQ(ledger.suspicions(10).size(), 4U);
}

// A request that was forgotten before its next trial began anew.
TEST(CrashLedgerTest, remembersASuspicionLongerThanItsTrialsArePutOff)
{
    CrashLedger ledger;
    ledger.note(crash("a", "s1"), start);
    ledger.note(crash("a", "s2"), start);
    ledger.note(crash("beside", "s2"), start);
    for (std::uint32_t count = 1; count < 9; ++count) {
        ledger.noteTrials(request("a"), count, count, start);
        EXPECT_GT(ledger.trials(request("a")).nextTime, start + 9s);
        EXPECT_TRUE(ledger.expire(ledger.trials(request("a")).nextTime).empty() || count > 2);
        EXPECT_TRUE(ledger.isSuspected(request("a")));
    }
}

TEST(CrashLedgerTest, forgetsWhatIsOld)
{
    CrashLedger ledger;
    ledger.note(crash("a", "s1"), start);
    EXPECT_EQ(ledger.expire(start + 1h).size(), 1U);
    EXPECT_TRUE(ledger.isEmpty());
}

// A row that anybody else wrote was taken for a crash.
TEST(CrashRowTest, readsWhatItWroteAndNothingElse)
{
    const CrashRecord record = crash("a", "i-1.0");
    const auto read = decodeCrashRow(rowKey(record), record.organisation);
    ASSERT_TRUE(read);
    EXPECT_EQ(std::get<CrashRecord>(read.value()).key(), record.key());
    const auto trials = decodeCrashRow(trialKey(record.request), "3");
    ASSERT_TRUE(trials);
    EXPECT_EQ(std::get<TrialCount>(trials.value()).count, 3U);
    for (const char *key : {"", "crash.", "crash.00", "trial.zz", "other.00112233445566778899aabbccddeeff.s"}) {
        EXPECT_FALSE(decodeCrashRow(key, "")) << key;
    }
    EXPECT_FALSE(decodeCrashRow(trialKey(record.request), "3x"));
    EXPECT_FALSE(decodeCrashRow(rowKey(record).substr(0, rowKey(record).size() - 6), ""));
}

// Whatever is killed, cut off or away, in any order: a request that crashes its servers got more of them from routers that are in touch.
TEST(CrashModelTest, sendsAtMostThreeAfterTheThirdCrash)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        CrashModel model(seed);
        model.run();
        RC_ASSERT(model.retries() <= 3);
    }));
}

// Requests that only ran beside crashes stayed turned away.
TEST(CrashModelTest, freesWhatOnlyRanBeside)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        CrashModel model(seed);
        model.run();
        RC_ASSERT(model.innocentSuspected() == 0);
    }));
}

} // namespace

} // namespace Verbena::Decisions
