#include <decisions/relay/memorybudget.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <memory>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

// The smallest hosts' memory, and what of it bytes may take.
constexpr std::uint64_t hostBytes = 88'000'000;
constexpr std::uint64_t budgetBytes = hostBytes / 4;

// Bytes that one read from a backend server may bring.
constexpr std::uint64_t readBytes = 64 * 1024;

// Requests up to this size have a part of the budget of their own.
constexpr std::uint64_t smallRequestBytes = 16 * 1024;

// Events up to this size may be held while answers take no more than their part of the budget.
constexpr std::uint64_t shortEventBytes = 16 * 1024;

// No event that is shorter is given up.
constexpr std::uint64_t shortestEventBytes = 4 * 1024;

const Core::TimePoint start{};

// All callers of a small router stop to read while their streams go on; each of them held 256 KiB.
RC_GTEST_PROP(MemoryBudgetTest, boundsWhatSlowCallersHoldHoweverManyTheyAre, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 3000);
    const auto piece = *rc::gen::inRange<std::uint64_t>(100, 4000);
    MemoryBudget budget(hostBytes);
    std::vector<std::unique_ptr<HeldBytes>> callers;
    for (std::size_t number = 0; number < count; ++number) {
        callers.push_back(std::make_unique<HeldBytes>(budget, HeldKind::UnsentToCallers));
    }
    bool isAnyRead = true;
    while (isAnyRead) {
        isAnyRead = false;
        for (const auto &caller : callers) {
            if (caller->bytes() <= budget.unsentBound()) {
                caller->set(caller->bytes() + piece);
                isAnyRead = true;
            }
        }
    }
    RC_ASSERT(budget.held() <= budgetBytes + piece);
    callers.clear();
    RC_ASSERT(budget.held() == 0U);
}

TEST(MemoryBudgetTest, limitsNothingWhereNoMemoryIsNamed)
{
    MemoryBudget budget(std::nullopt);
    HeldBytes held(budget, HeldKind::UnsentToCallers);
    held.set(100 * hostBytes);
    EXPECT_FALSE(budget.isShort());
    EXPECT_FALSE(budget.isExceeded());
    EXPECT_TRUE(budget.admitsBody(hostBytes, 0));
    EXPECT_EQ(budget.unsentBound(), 256U * 1024);
    EXPECT_TRUE(budget.callersToCut({{0, 100 * hostBytes, start}}, start + 1h).empty());
}

TEST(MemoryBudgetTest, refusesLargeBodiesFirstWhereMemoryIsShort)
{
    MemoryBudget budget(hostBytes);
    HeldBytes held(budget, HeldKind::UnsentToCallers);
    EXPECT_TRUE(budget.admitsBody(budgetBytes, 0));
    EXPECT_FALSE(budget.admitsBody(budgetBytes + 1, 0));
    held.set(budgetBytes * 3 / 4);
    const std::uint64_t left = budgetBytes - held.bytes();
    EXPECT_TRUE(budget.admitsBody(left / 8, 0));
    EXPECT_FALSE(budget.admitsBody(left / 8 + 1, 0));
    held.set(budgetBytes);
    EXPECT_FALSE(budget.admitsBody(smallRequestBytes + 1, 0));
    EXPECT_TRUE(budget.admitsBody(0, 0));
    EXPECT_TRUE(budget.admitsBody(1000, 1000));
}

// Slow callers alone closed a router to requests of any size.
TEST(MemoryBudgetTest, keepsAPartForSmallRequestsWhateverSlowCallersHold)
{
    MemoryBudget budget(hostBytes);
    HeldBytes slow(budget, HeldKind::UnsentToCallers);
    HeldBytes requests(budget, HeldKind::RequestBodies);
    slow.set(2 * budgetBytes);
    std::uint64_t admitted = 0;
    while (budget.admitsBody(smallRequestBytes, 0)) {
        requests.set(requests.bytes() + smallRequestBytes);
        ++admitted;
    }
    EXPECT_EQ(admitted, budgetBytes / 4 / smallRequestBytes);
    slow.set(0);
    EXPECT_TRUE(budget.admitsBody(smallRequestBytes, 0));
}

TEST(MemoryBudgetTest, doesNotSwingBetweenShortAndEnough)
{
    MemoryBudget budget(hostBytes);
    HeldBytes held(budget, HeldKind::PartialAnswers);
    held.set(budgetBytes / 2);
    EXPECT_FALSE(budget.isShort());
    held.set(budgetBytes / 2 + 1);
    EXPECT_TRUE(budget.isShort());
    held.set(budgetBytes / 2 - readBytes);
    EXPECT_TRUE(budget.isShort());
    held.set(budgetBytes * 3 / 8);
    EXPECT_FALSE(budget.isShort());
}

TEST(MemoryBudgetTest, cutsOffThoseThatHaveNotReadForLongestAndNoMoreThanNeeded)
{
    MemoryBudget budget(hostBytes);
    HeldBytes held(budget, HeldKind::UnsentToCallers);
    const std::vector<UnreadCaller> callers{{0, 5000, start + 900ms}, {1, 3000, start + 500ms}, {2, 3000, start}, {3, 9000, start + 700ms}};
    held.set(budgetBytes);
    EXPECT_TRUE(budget.callersToCut(callers, start + 1s).empty());
    held.set(budgetBytes + 4000);
    const std::vector<UnreadCaller> cut = budget.callersToCut(callers, start + 1500ms);
    ASSERT_EQ(cut.size(), 2U);
    EXPECT_EQ(cut[0].index, 2U);
    EXPECT_EQ(cut[1].index, 1U);
}

// Callers that paused for a quarter of a second lost answers that were ready.
TEST(MemoryBudgetTest, cutsOffCallersThatPauseForAMoment)
{
    MemoryBudget budget(hostBytes);
    HeldBytes held(budget, HeldKind::UnsentToCallers);
    const std::vector<UnreadCaller> callers{{0, budgetBytes, start + 10ms}, {1, budgetBytes, start}};
    held.set(budgetBytes * 3 / 2);
    EXPECT_TRUE(budget.callersToCut(callers, start + 999ms).empty());
    EXPECT_EQ(budget.callersToCut(callers, start + 1s).size(), 1U);
}

TEST(MemoryBudgetTest, cutsOffSoonerWhereTheProcessIsInDanger)
{
    MemoryBudget budget(hostBytes);
    HeldBytes held(budget, HeldKind::UnsentToCallers);
    const std::vector<UnreadCaller> callers{{0, 3000, start}, {1, 3000, start + 1ms}, {2, 3000, start + 51ms}};
    held.set(budgetBytes * 3 / 2 + 4000);
    EXPECT_TRUE(budget.callersToCut(callers, start + 99ms).empty());
    EXPECT_EQ(budget.callersToCut(callers, start + 150ms).size(), 2U);
}

// Incomplete events grew to a megabyte each however many there were.
RC_GTEST_PROP(MemoryBudgetTest, boundsWhatIncompleteEventsHoldHoweverManyTheyAre, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 400);
    const auto piece = *rc::gen::inRange<std::uint64_t>(100, readBytes);
    const auto slow = *rc::gen::inRange<std::uint64_t>(0, budgetBytes);
    MemoryBudget budget(hostBytes);
    HeldBytes slowCallers(budget, HeldKind::UnsentToCallers);
    slowCallers.set(slow);
    std::vector<std::unique_ptr<HeldBytes>> answers;
    for (std::size_t number = 0; number < count; ++number) {
        answers.push_back(std::make_unique<HeldBytes>(budget, HeldKind::PartialAnswers));
    }
    bool isAnyRead = true;
    while (isAnyRead) {
        isAnyRead = false;
        for (const auto &answer : answers) {
            answer->set(answer->bytes() + piece);
            const bool isTooMuch = answer->bytes() > budget.eventBound(answer->bytes());
            answer->set(isTooMuch ? answer->bytes() - piece : answer->bytes());
            isAnyRead = isAnyRead || !isTooMuch;
        }
    }
    RC_ASSERT(budget.held(HeldKind::PartialAnswers) <= std::max(budgetBytes - slow, budgetBytes / 4) + piece + count * shortestEventBytes);
}

TEST(MemoryBudgetTest, keepsAPartForShortEventsWhateverSlowCallersHold)
{
    MemoryBudget budget(hostBytes);
    HeldBytes slow(budget, HeldKind::UnsentToCallers);
    HeldBytes answers(budget, HeldKind::PartialAnswers);
    slow.set(2 * budgetBytes);
    EXPECT_EQ(budget.eventBound(0), shortEventBytes);
    answers.set(budgetBytes / 4 + 1);
    EXPECT_EQ(budget.eventBound(0), shortestEventBytes);
    EXPECT_EQ(MemoryBudget(std::nullopt).eventBound(0), std::numeric_limits<std::uint64_t>::max());
    EXPECT_GE(MemoryBudget(hostBytes).eventBound(0), 1024U * 1024);
}

// Answers that held more than the budget were kept until their deadline, and the process was killed for them.
TEST(MemoryBudgetTest, givesUpNothingButCallersThatDoNotRead)
{
    MemoryBudget budget(hostBytes);
    HeldBytes answers(budget, HeldKind::PartialAnswers);
    HeldBytes others(budget, HeldKind::RequestBodies);
    const std::vector<IncompleteAnswer> held{{0, 3000}, {1, 9000}, {2, 5000}, {3, 0}};
    answers.set(budgetBytes / 2);
    others.set(budgetBytes / 2);
    EXPECT_TRUE(budget.answersToGiveUp(held).empty());
    others.set(budgetBytes / 2 + 10'000);
    const std::vector<IncompleteAnswer> givenUp = budget.answersToGiveUp(held);
    ASSERT_EQ(givenUp.size(), 2U);
    EXPECT_EQ(givenUp[0].index, 1U);
    EXPECT_EQ(givenUp[1].index, 2U);
}

TEST(MemoryBudgetTest, givesUpNoAnswersForWhatCallersDoNotRead)
{
    MemoryBudget budget(hostBytes);
    HeldBytes slow(budget, HeldKind::UnsentToCallers);
    HeldBytes answers(budget, HeldKind::PartialAnswers);
    slow.set(2 * budgetBytes);
    answers.set(budgetBytes / 4);
    EXPECT_TRUE(budget.answersToGiveUp({{0, budgetBytes / 4}}).empty());
    answers.set(budgetBytes / 4 + 1);
    EXPECT_EQ(budget.answersToGiveUp({{0, 1000}, {1, 1000}}).size(), 1U);
}

// Receive buffers took 128 KB each however many calls there were.
RC_GTEST_PROP(MemoryBudgetTest, boundsReceiveBuffersHoweverManyCallsThereAre, ())
{
    constexpr std::uint64_t mostMemory = 128 * 1024;
    const auto calls = *rc::gen::inRange<std::size_t>(1, 600);
    const MemoryBudget budget(hostBytes);
    std::uint64_t sum = 0;
    for (std::size_t open = 0; open < calls; ++open) {
        sum += budget.receiveBound(open, mostMemory);
    }
    RC_ASSERT(sum <= hostBytes / 8 + calls * hostBytes / 8 / 400);
    RC_ASSERT(MemoryBudget(std::nullopt).receiveBound(calls, mostMemory) == mostMemory);
}

// One turn of the loop read 64 KiB for each call, and requests beside hundreds of endless answers waited for seconds.
RC_GTEST_PROP(MemoryBudgetTest, boundsWhatAllCallsReadInATurn, ())
{
    const auto calls = *rc::gen::inRange<std::size_t>(0, 500);
    const MemoryBudget budget(hostBytes);
    const std::uint64_t bytes = budget.readBound(calls);
    RC_ASSERT(bytes >= 1024U);
    RC_ASSERT(calls * bytes <= 512U * 1024);
    RC_ASSERT(calls > 8 || bytes >= readBytes);
}

} // namespace

} // namespace Verbena::Decisions
