#include <decisions/relay/bodyqueue.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t hostBytes = 88'000'000;
constexpr std::uint64_t budgetBytes = hostBytes / 4;
constexpr std::uint64_t smallBytes = 1000;

const Core::TimePoint start{};

// What requests hold never passes the budget by more than small ones may, large ones are read in their order, and all of them are read in the end.
RC_GTEST_PROP(BodyQueueTest, readsAllBodiesInOrderWithinTheBudget, ())
{
    MemoryBudget budget(hostBytes);
    BodyQueue queue(budget);
    std::map<std::uint64_t, std::uint64_t> waiting; // Bytes by number.
    std::vector<std::unique_ptr<HeldBytes>> running;
    const auto run = [&](std::uint64_t bytes) {
        running.push_back(std::make_unique<HeldBytes>(budget, HeldKind::RequestBodies));
        running.back()->set(bytes);
    };
    const auto admitWaiting = [&] {
        while (const auto number = queue.next()) {
            RC_ASSERT(*number == waiting.begin()->first);
            queue.remove(*number);
            run(waiting.extract(*number).mapped());
        }
    };
    for (const auto bytes : *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, budgetBytes))) {
        const RequestDemand demand{bytes, 0};
        RC_ASSERT(queue.mayWait(demand, 0));
        if (queue.admits(demand)) {
            run(bytes);
        } else {
            waiting.emplace(queue.add(demand), bytes);
        }
        RC_ASSERT(budget.held() <= budgetBytes + budgetBytes / 4);
        if (!running.empty() && *rc::gen::arbitrary<bool>()) {
            running.erase(running.begin());
            admitWaiting();
        }
    }
    while (!running.empty()) {
        running.erase(running.begin());
        admitWaiting();
    }
    RC_ASSERT(waiting.empty());
    RC_ASSERT(queue.size() == 0U);
}

// A small request does not wait behind large ones.
TEST(BodyQueueTest, letsSmallRequestsPassThoseThatWait)
{
    MemoryBudget budget(hostBytes);
    BodyQueue queue(budget);
    HeldBytes held(budget, HeldKind::RequestBodies);
    held.set(budgetBytes * 3 / 4);
    EXPECT_FALSE(queue.admits({budgetBytes / 2, 0}));
    const std::uint64_t number = queue.add({budgetBytes / 2, 0});
    held.set(0);
    EXPECT_FALSE(queue.admits({budgetBytes / 8, 0}));
    EXPECT_TRUE(queue.admits({smallBytes, 0}));
    EXPECT_EQ(queue.next(), number);
    queue.remove(number);
    EXPECT_TRUE(queue.admits({budgetBytes / 8, 0}));
}

// A body that was being read waited behind others, which waited for its memory.
TEST(BodyQueueTest, letsNoBegunBodyWaitBehindOthers)
{
    MemoryBudget budget(hostBytes);
    BodyQueue queue(budget);
    queue.add({budgetBytes, 0});
    EXPECT_TRUE(queue.admits({budgetBytes / 8, 0, true}));
    EXPECT_FALSE(queue.admits({budgetBytes / 8, 0}));
    EXPECT_FALSE(queue.mayWait({budgetBytes / 8, 0, true}, smallBytes));
}

TEST(BodyQueueTest, letsNothingWaitThatNeverFits)
{
    MemoryBudget budget(hostBytes);
    const BodyQueue queue(budget);
    HeldBytes held(budget, HeldKind::UnsentToCallers);
    EXPECT_FALSE(queue.mayWait({budgetBytes + 1, 0}, smallBytes));
    EXPECT_TRUE(queue.mayWait({budgetBytes, 0}, smallBytes));
    held.set(budgetBytes);
    EXPECT_FALSE(queue.mayWait({budgetBytes, 0}, smallBytes));
}

TEST(BodyQueueTest, endsTheWaitBeforeCallersGiveUp)
{
    EXPECT_EQ(latestBodyStart(start, start + 10s, false), start + 3s);
    EXPECT_EQ(latestBodyStart(start, start + 10s, true), start + 900ms);
    EXPECT_EQ(latestBodyStart(start, start + 1s, true), start + 300ms);
    EXPECT_EQ(latestBodyStart(start, start - 1s, false), start);
}

} // namespace

} // namespace Verbena::Decisions
