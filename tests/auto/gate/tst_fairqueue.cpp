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
constexpr int mostWork = 50;

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

// Feeds a FairQueue with random tickets and notes how much each flow got.
class Feeder
{
public:
    explicit Feeder(const Weights &weights)
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

// The textbook bound: over any time in which two flows both wait, work by weight differs by at most one ticket of each.
void assertFair(double workLeft, double weightLeft, double workRight, double weightRight)
{
    RC_ASSERT(std::abs(workLeft / weightLeft - workRight / weightRight) <= mostWork / weightLeft + mostWork / weightRight + 1e-3);
}

TEST(FairQueueTest, givesEachFlowItsShareAtEachLevel)
{
    EXPECT_TRUE(rc::check("as generalised processor sharing does, up to one ticket", [] {
        const Weights weights = randomWeights();
        Feeder feeder(weights);
        // Whatever was used or lent before must not count from the moment on at which all wait.
        const int warmUp = *rc::gen::inRange(0, 60);
        for (int i = 0; i < warmUp; ++i) {
            feeder.push(*rc::gen::inRange(0, *rc::gen::inRange(1, flowCount + 1)), *rc::gen::inRange(1, mostWork + 1));
            for (int popped = *rc::gen::inRange(0, 3); popped > 0; --popped) {
                feeder.pop();
            }
        }
        for (int flow = 0; flow < flowCount; ++flow) {
            feeder.push(flow, *rc::gen::inRange(1, mostWork + 1));
        }
        std::vector<double> teamsBefore = feeder.teamWork;
        std::vector<double> organisationsBefore = feeder.organisationWork;
        for (int i = 0; i < 200; ++i) {
            const int flow = feeder.pop();
            feeder.push(flow, *rc::gen::inRange(1, mostWork + 1));
            assertFair(feeder.organisationWork[0] - organisationsBefore[0],
                weights.organisations[0],
                feeder.organisationWork[1] - organisationsBefore[1],
                weights.organisations[1]);
            for (std::size_t left = 0; left < flowCount; ++left) {
                for (std::size_t right = left + 1; right < left / 3 * 3 + 3; ++right) {
                    assertFair(
                        feeder.teamWork[left] - teamsBefore[left], weights.teams[left], feeder.teamWork[right] - teamsBefore[right], weights.teams[right]);
                }
            }
        }
    }));
}

TEST(FairQueueTest, lendsWhatIsUnusedAndTakesItBack)
{
    Feeder feeder({{1.0, 1.0}, {1, 1, 1, 1, 1, 1}});
    for (int i = 0; i < 100; ++i) {
        feeder.push(0, 10);
    }
    for (int i = 0; i < 50; ++i) {
        feeder.pop();
    }
    EXPECT_DOUBLE_EQ(feeder.teamWork[0], 500.0);
    for (int i = 0; i < 20; ++i) {
        feeder.push(3, 10);
    }
    for (int i = 0; i < 40; ++i) {
        feeder.pop();
    }
    EXPECT_DOUBLE_EQ(feeder.teamWork[3], 200.0);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(feeder.pop(), 0);
    }
}

// Costs are drawn anew whenever they are asked for.
class RandomCosts : public QueueEntryCosts
{
public:
    microseconds currentCost(QueueEntryId) const override
    {
        return microseconds(*rc::gen::inRange(0, 100));
    }
};

TEST(FairQueueTest, passesNobodyMoreOftenThanAllowed)
{
    EXPECT_TRUE(rc::check("when the cheapest of a class goes first", [] {
        FairQueue queue;
        const RandomCosts costs;
        const ReorderLimits limits{*rc::gen::inRange<std::size_t>(1, 8), *rc::gen::inRange<std::size_t>(0, 5)};
        std::uint64_t last = 0;
        std::map<std::uint64_t, std::uint64_t> waiting; // Ticket to the pops that it has seen.
        std::map<std::uint64_t, std::uint64_t> before; // Ticket to those that waited when it came.
        for (int i = 0; i < 100; ++i) {
            if (*rc::gen::inRange(0, 2) == 0) {
                before[++last] = waiting.size();
                waiting[last] = 0;
                queue.push(flowOf(0), {QueueEntryId(last), milliseconds(1)});
            } else if (const std::optional<QueueEntry> entry = queue.popCheapest(costs, limits)) {
                const auto id = std::uint64_t(entry->id);
                RC_ASSERT(waiting.at(id) <= (before.at(id) + 1) * (limits.maximumOvertakes + 1));
                waiting.erase(id);
                for (auto &[other, pops] : waiting) {
                    ++pops;
                }
            }
        }
    }));
}

TEST(FairQueueTest, holdsNothingLentAgainstTheBorrower)
{
    Feeder feeder({{1.0, 1.0}, {1, 1, 1, 1, 1, 1}});
    for (int i = 0; i < 100; ++i) {
        feeder.push(0, 10);
        feeder.pop();
    }
    for (int i = 0; i < 10; ++i) {
        feeder.push(0, 10);
        feeder.push(3, 10);
    }
    for (int i = 0; i < 10; ++i) {
        feeder.pop();
    }
    EXPECT_DOUBLE_EQ(feeder.teamWork[0], 1050.0);
    EXPECT_DOUBLE_EQ(feeder.teamWork[3], 50.0);
}

TEST(FairQueueTest, losesNothingAndStarvesNobody)
{
    EXPECT_TRUE(rc::check("every ticket leaves once, by pop or erase, after at most all the work beside it", [] {
        Feeder feeder(randomWeights());
        std::vector<int> left;
        const int steps = *rc::gen::inRange(1, 300);
        std::vector<bool> isGone(std::size_t(steps), false);
        for (int i = 0; i < steps; ++i) {
            const int kind = *rc::gen::inRange(0, 10);
            if (kind < 6) {
                feeder.push(*rc::gen::inRange(0, flowCount), *rc::gen::inRange(1, mostWork + 1));
            } else if (kind < 9) {
                feeder.pop();
            } else if (!feeder.flows.empty()) {
                const auto id = *rc::gen::inRange<std::size_t>(1, feeder.flows.size() + 1);
                if (feeder.queue.erase(QueueEntryId(id))) {
                    --feeder.waiting[std::size_t(feeder.flows[id - 1])];
                }
            }
            RC_ASSERT(feeder.queue.size() == std::size_t(std::accumulate(feeder.waiting.begin(), feeder.waiting.end(), 0)));
        }
        while (feeder.queue.size() > 0) {
            RC_ASSERT(feeder.pop() >= 0);
        }
        RC_ASSERT(feeder.queue.queuedWork() == microseconds(0));
        RC_ASSERT(std::all_of(feeder.waiting.begin(), feeder.waiting.end(), [](int count) { return count == 0; }));
    }));
}

TEST(FairQueueTest, expectsNoShorterWaitThanComes)
{
    EXPECT_TRUE(rc::check("when nothing more arrives, up to one ticket of each flow", [] {
        Feeder feeder(randomWeights());
        const int count = *rc::gen::inRange(0, 60);
        for (int i = 0; i < count; ++i) {
            feeder.push(*rc::gen::inRange(0, flowCount), *rc::gen::inRange(1, mostWork + 1));
        }
        const int popped = *rc::gen::inRange(0, count + 1);
        for (int i = 0; i < popped / 2; ++i) {
            feeder.pop();
        }
        const int flow = *rc::gen::inRange(0, flowCount);
        const int work = *rc::gen::inRange(1, mostWork + 1);
        const microseconds expected = feeder.queue.expectedWait(flowOf(flow));
        feeder.push(flow, work);
        const std::size_t mine = feeder.flows.size();
        microseconds waited(0);
        std::optional<QueueEntry> entry = feeder.queue.pop();
        while (std::size_t(entry->id) != mine) {
            waited += entry->work;
            entry = feeder.queue.pop();
        }
        RC_ASSERT(waited <= expected + milliseconds(flowCount * mostWork));
        RC_ASSERT(expected <= feeder.queue.queuedWork() + waited);
    }));
}

} // namespace

} // namespace Verbena::Decisions
