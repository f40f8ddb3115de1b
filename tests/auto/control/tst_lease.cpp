#include "virtualclock.h"

#include <decisions/control/lease.h>
#include <decisions/control/orderplan.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>

namespace Verbena::Test {

namespace {

using namespace Decisions;
using namespace std::chrono_literals;
using Standin::Outage;

constexpr auto step = 20ms;

/// A lease whose operations run on the platform in memory, on a host whose wall clock deviates by a skew.
class Holder
{
public:
    Holder(VirtualClock &clock, const std::vector<std::string> &rows, std::uint64_t seed, std::chrono::milliseconds skew = {})
        : m_clock(clock)
        , m_skew(skew)
        , m_lease(std::make_shared<Lease>(LeaseOptions(), rows, "agent" + std::to_string(seed), seed))
    {
    }

    void run()
    {
        const auto action = m_lease->advance(m_clock.reading(m_skew));
        if (!action) {
            return;
        }
        // A dead process gets no answers; a paused one gets them before it resumes.
        const std::weak_ptr<Lease> weak = m_lease;
        if (const auto *read = std::get_if<LeaseRead>(&*action)) {
            m_clock.platform().get(read->keys, read->deadline, [weak, this](const auto &rows) {
                if (const auto lease = weak.lock()) {
                    lease->handleRows(rows, m_clock.reading(m_skew));
                }
            });
        } else if (const auto *write = std::get_if<LeaseWrite>(&*action)) {
            m_clock.platform().commit({write->write}, write->deadline, [weak, this](const Store::CommitAnswer &answer) {
                if (const auto lease = weak.lock()) {
                    lease->handleCommit(answer, m_clock.reading(m_skew));
                }
            });
        }
    }

    Lease &lease()
    {
        return *m_lease;
    }

    bool isHeld() const
    {
        return m_lease->isHeld(m_clock.now());
    }

private:
    VirtualClock &m_clock;
    std::chrono::milliseconds m_skew;
    std::shared_ptr<Lease> m_lease;
};

class LeaseTest : public testing::Test
{
protected:
    void runFor(std::chrono::milliseconds duration, const std::vector<Holder *> &holders)
    {
        const Core::TimePoint end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            for (Holder *holder : holders) {
                holder->run();
            }
            m_clock.platform().advanceTo(m_clock.now() + step);
        }
    }

    VirtualClock m_clock{4ms};
    Holder m_first{m_clock, {"leases/x"}, 1};
    Holder m_second{m_clock, {"leases/x"}, 2};
};

TEST_F(LeaseTest, isHeldByOneAndPassesOnWithAHigherNumberWhenReleased)
{
    m_first.lease().setWanted(true);
    m_second.lease().setWanted(true);
    runFor(30s, {&m_first, &m_second});
    ASSERT_NE(m_first.isHeld(), m_second.isHeld());
    Holder &winner = m_first.isHeld() ? m_first : m_second;
    Holder &other = m_first.isHeld() ? m_second : m_first;
    const std::uint64_t number = winner.lease().fencingNumber();
    winner.lease().setWanted(false);
    runFor(60s, {&m_first, &m_second});
    EXPECT_FALSE(winner.isHeld());
    ASSERT_TRUE(other.isHeld());
    EXPECT_GT(other.lease().fencingNumber(), number);
}

TEST_F(LeaseTest, lapsesWhileItsHolderIsPausedAndTheHolderDetectsItWhenItResumes)
{
    m_first.lease().setWanted(true);
    runFor(1s, {&m_first});
    ASSERT_TRUE(m_first.isHeld());
    const std::uint64_t number = m_first.lease().fencingNumber();
    OrderPlan plan({});
    plan.setOrders({{ModelOrder::Kind::Unload, {"analyst", "", "6"}}});
    const auto order = plan.nextOrder(m_first.lease(), m_first.lease(), m_clock.now());
    ASSERT_TRUE(order);
    EXPECT_TRUE(plan.maySend(*order, m_first.lease(), m_first.lease(), m_clock.now()));
    m_second.lease().setWanted(true);
    runFor(60s, {&m_second});
    EXPECT_TRUE(m_second.isHeld());
    EXPECT_GT(m_second.lease().fencingNumber(), number);
    // The paused process resumes between preparing and sending the order; the check right before sending prevents the order.
    EXPECT_FALSE(m_first.isHeld());
    EXPECT_FALSE(plan.maySend(*order, m_first.lease(), m_first.lease(), m_clock.now()));
    EXPECT_FALSE(plan.nextOrder(m_first.lease(), m_first.lease(), m_clock.now()));
}

TEST_F(LeaseTest, survivesLostAnswersButNotAnOutageLongerThanItsDuration)
{
    m_first.lease().setWanted(true);
    m_clock.platform().state().setFaults({.lostAnswers = 1});
    runFor(3s, {&m_first});
    ASSERT_TRUE(m_first.isHeld());
    const std::uint64_t number = m_first.lease().fencingNumber();
    m_clock.platform().state().setFaults({.lostAnswers = 1});
    runFor(9s, {&m_first});
    EXPECT_TRUE(m_first.isHeld());
    EXPECT_EQ(m_first.lease().fencingNumber(), number);
    m_clock.platform().state().setFaults({.outage = Outage::Silent});
    runFor(3min, {&m_first});
    EXPECT_FALSE(m_first.isHeld());
    m_clock.platform().state().setFaults({});
    runFor(30s, {&m_first});
    EXPECT_TRUE(m_first.isHeld());
    EXPECT_GT(m_first.lease().fencingNumber(), number);
}

TEST_F(LeaseTest, keepsItsNumbersRisingWhenTheRowIsDeleted)
{
    m_first.lease().setWanted(true);
    runFor(1s, {&m_first});
    const std::uint64_t number = m_first.lease().fencingNumber();
    m_clock.platform().state().commit({{"leases/x", std::nullopt, std::nullopt}});
    runFor(20s, {&m_first});
    ASSERT_TRUE(m_first.isHeld());
    EXPECT_GT(m_first.lease().fencingNumber(), number);
}

TEST(OrderPlan, sendsLoadsUnderAPermitOnlyAndRepeatsUnansweredOrders)
{
    VirtualClock clock(4ms);
    Holder engine(clock, {"leases/engines/e1"}, 1);
    Holder permit(clock, {"permits/weights/1"}, 2);
    OrderPlan plan({});
    EXPECT_FALSE(plan.isLeaseWanted());
    plan.setOrders({{ModelOrder::Kind::Load, {"analyst", "", "7"}}});
    EXPECT_TRUE(plan.isLeaseWanted());
    EXPECT_TRUE(plan.isPermitWanted());
    const auto runFor = [&](std::chrono::milliseconds duration) {
        for (const Core::TimePoint end = clock.now() + duration; clock.now() < end; clock.platform().advanceTo(clock.now() + step)) {
            engine.run();
            permit.run();
        }
    };
    engine.lease().setWanted(true);
    runFor(1s);
    EXPECT_FALSE(plan.nextOrder(engine.lease(), permit.lease(), clock.now()));
    permit.lease().setWanted(true);
    runFor(1s);
    const auto order = plan.nextOrder(engine.lease(), permit.lease(), clock.now());
    ASSERT_TRUE(order);
    EXPECT_EQ(order->fencingNumber, engine.lease().fencingNumber());
    plan.recordSent(*order, clock.now());
    EXPECT_FALSE(plan.nextOrder(engine.lease(), permit.lease(), clock.now()));
    plan.recordAnswer(*order, OrderAnswer::Unknown, clock.now());
    runFor(500ms);
    EXPECT_TRUE(plan.nextOrder(engine.lease(), permit.lease(), clock.now()));
    plan.recordAnswer(*order, OrderAnswer::Done, clock.now());
    EXPECT_FALSE(plan.nextOrder(engine.lease(), permit.lease(), clock.now()));
    runFor(6s);
    EXPECT_TRUE(plan.nextOrder(engine.lease(), permit.lease(), clock.now()));
    // An order that is no longer wanted keeps its leases until it is answered.
    plan.recordSent(*order, clock.now());
    plan.setOrders({});
    EXPECT_TRUE(plan.isPermitWanted());
    plan.recordAnswer(*order, OrderAnswer::Done, clock.now());
    EXPECT_FALSE(plan.isPermitWanted());
    EXPECT_FALSE(plan.isLeaseWanted());
}

/// Several agents that compete for a few rows and that pause, die, or stop and start wanting the lease.
class AgentGroup
{
public:
    AgentGroup(int count, const std::vector<std::string> &rows)
        : m_rows(rows)
    {
        for (int i = 0; i < count; ++i) {
            m_agents.push_back(makeAgent(static_cast<std::uint64_t>(i) + 1));
        }
    }

    void disturb()
    {
        Agent &agent = m_agents[*rc::gen::inRange<std::size_t>(0, m_agents.size())];
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            setArbitraryFaults();
            break;
        case 1:
            agent.pausedUntil = m_clock.now() + std::chrono::milliseconds(*rc::gen::inRange(100, 25000));
            break;
        case 2:
            m_dead.push_back(std::move(agent));
            agent = makeAgent(++m_lastSeed);
            break;
        case 3:
            agent.holder->lease().setWanted(false);
            break;
        default:
            agent.holder->lease().setWanted(true);
        }
    }

    void runFor(std::chrono::milliseconds duration)
    {
        const Core::TimePoint end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            for (Agent &agent : m_agents) {
                if (agent.pausedUntil <= m_clock.now()) {
                    agent.holder->run();
                    sendOrder(agent);
                }
            }
            m_clock.platform().advanceTo(m_clock.now() + step);
            check();
        }
    }

    std::size_t ordersSent() const
    {
        return m_ordersSent;
    }

private:
    struct Agent
    {
        std::unique_ptr<Holder> holder;
        Core::TimePoint pausedUntil;
        std::optional<EngineOrder> order; ///< Order prepared in an earlier step, possibly before a pause.
    };

    Agent makeAgent(std::uint64_t seed)
    {
        // The clocks of two hosts differ by at most the skew that the leases tolerate.
        const std::chrono::milliseconds skew(static_cast<int>(seed * 700 % 2000) - 1000);
        Agent agent{std::make_unique<Holder>(m_clock, m_rows, seed, skew), {}, {}};
        agent.holder->lease().setWanted(true);
        return agent;
    }

    void setArbitraryFaults()
    {
        Standin::PlatformFaults faults;
        faults.outage = *rc::gen::element(Outage::None, Outage::None, Outage::None, Outage::Refusing, Outage::Silent);
        faults.answerDelay = std::chrono::milliseconds(*rc::gen::element(0, 0, 300, 1500));
        faults.lostAnswers = *rc::gen::element(0U, 1U, 3U);
        faults.lostRequests = *rc::gen::element(0U, 1U, 3U);
        faults.delayedWrites = *rc::gen::element(0U, 1U, 2U);
        m_clock.platform().state().setFaults(faults);
    }

    void sendOrder(Agent &agent)
    {
        const Lease &lease = agent.holder->lease();
        if (agent.order && m_plan.maySend(*agent.order, lease, lease, m_clock.now())) {
            // Even without checks by the engine, the orders of one row's holders must arrive with fencing numbers that never decrease.
            std::uint64_t &highest = m_highest[lease.row()];
            RC_ASSERT(agent.order->fencingNumber >= highest);
            highest = agent.order->fencingNumber;
            ++m_ordersSent;
        }
        m_plan.setOrders({{ModelOrder::Kind::Unload, {"analyst", "", "6"}}});
        agent.order = m_plan.nextOrder(lease, lease, m_clock.now());
    }

    void check()
    {
        std::map<std::string, int> holders;
        for (const std::vector<Agent> *agents : {&m_agents, &m_dead}) {
            for (const Agent &agent : *agents) {
                if (agent.holder && agent.holder->isHeld()) {
                    ++holders[agent.holder->lease().row()];
                }
            }
        }
        for (const auto &[row, count] : holders) {
            RC_ASSERT(count == 1);
        }
        for (const Store::TableRow &row : m_clock.platform().state().rows(m_rows)) {
            const std::uint64_t number = LeaseRecord::decode(row.value).value().fencingNumber;
            RC_ASSERT(number >= m_numbers[row.key]);
            m_numbers[row.key] = number;
        }
    }

    VirtualClock m_clock{4ms};
    std::vector<std::string> m_rows;
    std::vector<Agent> m_agents;
    std::vector<Agent> m_dead;
    std::uint64_t m_lastSeed = 100;
    OrderPlan m_plan{OrderPlanOptions()};
    std::map<std::string, std::uint64_t> m_highest;
    std::map<std::string, std::uint64_t> m_numbers;
    std::size_t m_ordersSent = 0;
};

TEST(LeaseProperty, hasOneHolderARowAndNoOrderAfterItsDeadline)
{
    std::size_t ordersSent = 0;
    EXPECT_TRUE(rc::check("at most one holder a row, numbers only rise, no order goes out after the lease", [&ordersSent] {
        const bool isPool = *rc::gen::arbitrary<bool>();
        const std::vector<std::string> pool{"permits/weights/1", "permits/weights/2", "permits/weights/3"};
        AgentGroup group(isPool ? 6 : 3, isPool ? pool : std::vector<std::string>{"leases/engines/e1"});
        const int steps = *rc::gen::inRange(3, 25);
        for (int i = 0; i < steps; ++i) {
            group.disturb();
            group.runFor(std::chrono::milliseconds(*rc::gen::element(20, 1000, 5000, 15000)));
        }
        ordersSent += group.ordersSent();
    }));
    EXPECT_GT(ordersSent, 1000U);
}

} // namespace

} // namespace Verbena::Test
