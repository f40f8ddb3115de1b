#include <decisions/gate/fairqueue.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace Verbena::Decisions {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int flowCount = 6;
constexpr int maximumWork = 50;

// Two organisations of three teams each.
FlowPath flowOf(int flow)
{
    return {"o" + std::to_string(flow / 3), "t" + std::to_string(flow), "c"};
}

struct Weights
{
    std::vector<double> organisations;
    std::vector<double> teams;

    std::vector<FlowShare> shares() const
    {
        std::vector<FlowShare> result;
        result.reserve(flowCount);
        for (int flow = 0; flow < flowCount; ++flow) {
            result.push_back({flowOf(flow).organisation, organisations[std::size_t(flow / 3)], flowOf(flow).team, teams[std::size_t(flow)]});
        }
        return result;
    }
};

// Drives a FairQueue with random entries and records how much work each flow got.
class QueueDriver
{
public:
    explicit QueueDriver(const Weights &weights)
    {
        queue.setShares(weights.shares());
    }

    void push(int flow, int work)
    {
        flows.push_back(flow);
        queue.push(flowOf(flow), {QueueEntryId(flows.size()), milliseconds(work)});
        ++waiting[std::size_t(flow)];
    }

    int pop()
    {
        const std::optional<QueueEntry> entry = queue.pop();
        if (!entry) {
            return -1;
        }
        const int flow = flows[std::size_t(entry->id) - 1];
        const double work = std::chrono::duration<double, std::milli>(entry->work).count();
        --waiting[std::size_t(flow)];
        teamWork[std::size_t(flow)] += work;
        organisationWork[std::size_t(flow / 3)] += work;
        return flow;
    }

    bool isWaiting(int flow) const
    {
        return waiting[std::size_t(flow)] > 0;
    }

    FairQueue queue;
    std::vector<int> flows;
    std::vector<int> waiting = std::vector<int>(flowCount, 0);
    std::vector<double> teamWork = std::vector<double>(flowCount, 0.0);
    std::vector<double> organisationWork = std::vector<double>(2, 0.0);
};

Weights randomWeights()
{
    Weights weights;
    for (int i = 0; i < 2; ++i) {
        weights.organisations.push_back(*rc::gen::inRange(1, 9));
    }
    for (int i = 0; i < flowCount; ++i) {
        weights.teams.push_back(*rc::gen::inRange(1, 9));
    }
    return weights;
}

// Bound of start-time fair queueing: over any interval in which two flows are both backlogged, their work divided by their weight
// differs by at most one entry of each.
void assertFair(double workLeft, double weightLeft, double workRight, double weightRight)
{
    RC_ASSERT(std::abs(workLeft / weightLeft - workRight / weightRight) <= maximumWork / weightLeft + maximumWork / weightRight + 1e-3);
}

TEST(FairQueueTest, givesEachFlowItsShareAtEachLevel)
{
    EXPECT_TRUE(rc::check("as generalised processor sharing does, up to one entry", [] {
        const Weights weights = randomWeights();
        QueueDriver driver(weights);
        // Work done before all flows are backlogged must not affect the shares afterwards.
        const int warmUp = *rc::gen::inRange(0, 60);
        for (int i = 0; i < warmUp; ++i) {
            driver.push(*rc::gen::inRange(0, *rc::gen::inRange(1, flowCount + 1)), *rc::gen::inRange(1, maximumWork + 1));
            for (int popped = *rc::gen::inRange(0, 3); popped > 0; --popped) {
                driver.pop();
            }
        }
        for (int flow = 0; flow < flowCount; ++flow) {
            driver.push(flow, *rc::gen::inRange(1, maximumWork + 1));
        }
        std::vector<double> teamsBefore = driver.teamWork;
        std::vector<double> organisationsBefore = driver.organisationWork;
        for (int i = 0; i < 200; ++i) {
            const int flow = driver.pop();
            driver.push(flow, *rc::gen::inRange(1, maximumWork + 1));
            assertFair(driver.organisationWork[0] - organisationsBefore[0],
                weights.organisations[0],
                driver.organisationWork[1] - organisationsBefore[1],
                weights.organisations[1]);
            for (std::size_t left = 0; left < flowCount; ++left) {
                for (std::size_t right = left + 1; right < left / 3 * 3 + 3; ++right) {
                    assertFair(
                        driver.teamWork[left] - teamsBefore[left], weights.teams[left], driver.teamWork[right] - teamsBefore[right], weights.teams[right]);
                }
            }
        }
    }));
}

TEST(FairQueueTest, lendsUnusedSharesAndReturnsThem)
{
    QueueDriver driver({{1.0, 1.0}, {1, 1, 1, 1, 1, 1}});
    for (int i = 0; i < 100; ++i) {
        driver.push(0, 10);
    }
    for (int i = 0; i < 50; ++i) {
        driver.pop();
    }
    EXPECT_DOUBLE_EQ(driver.teamWork[0], 500.0);
    for (int i = 0; i < 20; ++i) {
        driver.push(3, 10);
    }
    for (int i = 0; i < 40; ++i) {
        driver.pop();
    }
    EXPECT_DOUBLE_EQ(driver.teamWork[3], 200.0);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(driver.pop(), 0);
    }
}

// Returns a new random cost on each call.
class RandomCosts : public QueueEntryCosts
{
public:
    microseconds currentCost(QueueEntryId) const override
    {
        return microseconds(*rc::gen::inRange(0, 100));
    }
};

TEST(FairQueueTest, limitsHowOftenAnEntryIsOvertaken)
{
    EXPECT_TRUE(rc::check("when the cheapest of a class goes first", [] {
        FairQueue queue;
        const RandomCosts costs;
        const ReorderLimits limits{*rc::gen::inRange<std::size_t>(1, 8), *rc::gen::inRange<std::size_t>(0, 5)};
        std::uint64_t last = 0;
        std::map<std::uint64_t, std::uint64_t> waiting; // Entry id to the number of pops while it was queued.
        std::map<std::uint64_t, std::uint64_t> queuedOnArrival; // Entry id to the number of entries queued on its arrival.
        for (int i = 0; i < 100; ++i) {
            if (*rc::gen::inRange(0, 2) == 0) {
                queuedOnArrival[++last] = waiting.size();
                waiting[last] = 0;
                queue.push(flowOf(0), {QueueEntryId(last), milliseconds(1)});
            } else if (const std::optional<QueueEntry> entry = queue.popCheapest(costs, limits)) {
                const auto id = std::uint64_t(entry->id);
                RC_ASSERT(waiting.at(id) <= (queuedOnArrival.at(id) + 1) * (limits.maximumOvertakes + 1));
                waiting.erase(id);
                for (auto &[other, pops] : waiting) {
                    ++pops;
                }
            }
        }
    }));
}

TEST(FairQueueTest, doesNotChargeForUnusedSharesOfOthers)
{
    QueueDriver driver({{1.0, 1.0}, {1, 1, 1, 1, 1, 1}});
    for (int i = 0; i < 100; ++i) {
        driver.push(0, 10);
        driver.pop();
    }
    for (int i = 0; i < 10; ++i) {
        driver.push(0, 10);
        driver.push(3, 10);
    }
    for (int i = 0; i < 10; ++i) {
        driver.pop();
    }
    EXPECT_DOUBLE_EQ(driver.teamWork[0], 1050.0);
    EXPECT_DOUBLE_EQ(driver.teamWork[3], 50.0);
}

TEST(FairQueueTest, losesNoEntryAndStarvesNoFlow)
{
    EXPECT_TRUE(rc::check("every entry leaves once, by pop or erase", [] {
        QueueDriver driver(randomWeights());
        std::vector<int> left;
        const int steps = *rc::gen::inRange(1, 300);
        std::vector<bool> isGone(std::size_t(steps), false);
        for (int i = 0; i < steps; ++i) {
            const int kind = *rc::gen::inRange(0, 10);
            if (kind < 6) {
                driver.push(*rc::gen::inRange(0, flowCount), *rc::gen::inRange(1, maximumWork + 1));
            } else if (kind < 9) {
                driver.pop();
            } else if (!driver.flows.empty()) {
                const auto id = *rc::gen::inRange<std::size_t>(1, driver.flows.size() + 1);
                if (driver.queue.erase(QueueEntryId(id))) {
                    --driver.waiting[std::size_t(driver.flows[id - 1])];
                }
            }
            RC_ASSERT(driver.queue.size() == std::size_t(std::accumulate(driver.waiting.begin(), driver.waiting.end(), 0)));
        }
        while (driver.queue.size() > 0) {
            RC_ASSERT(driver.pop() >= 0);
        }
        RC_ASSERT(driver.queue.queuedWork() == microseconds(0));
        RC_ASSERT(std::all_of(driver.waiting.begin(), driver.waiting.end(), [](int count) { return count == 0; }));
    }));
}

TEST(FairQueueTest, expectsNoShorterWaitThanActual)
{
    EXPECT_TRUE(rc::check("when nothing more arrives, up to one entry of each flow", [] {
        QueueDriver driver(randomWeights());
        const int count = *rc::gen::inRange(0, 60);
        for (int i = 0; i < count; ++i) {
            driver.push(*rc::gen::inRange(0, flowCount), *rc::gen::inRange(1, maximumWork + 1));
        }
        const int popped = *rc::gen::inRange(0, count + 1);
        for (int i = 0; i < popped / 2; ++i) {
            driver.pop();
        }
        const int flow = *rc::gen::inRange(0, flowCount);
        const int work = *rc::gen::inRange(1, maximumWork + 1);
        const microseconds expected = driver.queue.expectedWait(flowOf(flow));
        driver.push(flow, work);
        const std::size_t id = driver.flows.size();
        microseconds waited(0);
        std::optional<QueueEntry> entry = driver.queue.pop();
        while (std::size_t(entry->id) != id) {
            waited += entry->work;
            entry = driver.queue.pop();
        }
        RC_ASSERT(waited <= expected + milliseconds(flowCount * maximumWork));
        RC_ASSERT(expected <= driver.queue.queuedWork() + waited);
    }));
}

} // namespace

} // namespace Verbena::Decisions
