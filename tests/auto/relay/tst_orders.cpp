#include <decisions/relay/orderfailover.h>
#include <decisions/spread/randomsource.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const std::string engineAddress = "10.0.0.9:8000";
const Core::BootTime bootStart = Core::BootTime() + 1h;

Store::TableRow rowOf(const OrderHolder &holder, std::uint64_t revision)
{
    return {engineAddress, holder.encode(), revision, false};
}

TEST(OrderHolderTest, decodesEncodedHolders)
{
    for (const OrderHolder &holder : {OrderHolder{"side-1", true, ""}, OrderHolder{"front-2", false, "side-1"}}) {
        const auto read = OrderHolder::decode(holder.encode());
        ASSERT_TRUE(read);
        EXPECT_EQ(read.value(), holder);
    }
    EXPECT_FALSE(OrderHolder::decode(""));
    EXPECT_FALSE(OrderHolder::decode("agent "));
    EXPECT_FALSE(OrderHolder::decode("nobody host"));
}

TEST(OrderLeaseTest, ordersAtOnceWithoutPreviousHolder)
{
    OrderLease lease({}, {"side-1", true, ""});
    EXPECT_FALSE(lease.mayOrder(bootStart));
    EXPECT_EQ(lease.acquisitionWrite(engineAddress).expectedRevision, 0U);
    lease.handleCommitted(lease.acquisitionWrite(engineAddress), 5, bootStart, bootStart + 10ms);
    EXPECT_TRUE(lease.mayOrder(bootStart + 10ms));
    EXPECT_EQ(lease.fencingNumber(), 5U);
    // The last read of the row is too old by then.
    EXPECT_FALSE(lease.mayOrder(bootStart + 1s));
    EXPECT_TRUE(lease.isStale(bootStart + 1s));
}

TEST(OrderLeaseTest, waitsUntilThePreviousHolderCanNoLongerOrder)
{
    const OrderLeaseOptions options;
    OrderLease lease(options, {"front-2", false, ""});
    lease.handleRow(rowOf({"side-1", true, ""}, 5), bootStart, bootStart);
    EXPECT_FALSE(lease.isHeld());
    lease.handleCommitted(lease.acquisitionWrite(engineAddress), 9, bootStart, bootStart);
    const Core::BootTime first = bootStart + options.readValidity + options.handoverInterval + options.deliveryMargin;
    EXPECT_FALSE(lease.mayOrder(bootStart + 500ms));
    EXPECT_FALSE(lease.mayCompleteHandover(first - 1ms));
    lease.handleRow(rowOf({"front-2", false, "side-1"}, 9), first, first);
    EXPECT_TRUE(lease.mayCompleteHandover(first));
    // No order is allowed before the row shows every later process of this host that the wait is over.
    EXPECT_FALSE(lease.mayOrder(first));
    const Store::RowWrite completion = lease.completionWrite(engineAddress);
    EXPECT_EQ(completion.expectedRevision, 9U);
    lease.handleCommitted(completion, 12, first, first + 10ms);
    EXPECT_TRUE(lease.mayOrder(first + 10ms));
    EXPECT_EQ(lease.fencingNumber(), 12U);
}

TEST(OrderLeaseTest, ordersAtOnceAfterAStartIfTheHandoverIsComplete)
{
    const OrderLeaseOptions options;
    OrderLease before(options, {"side-1", true, ""});
    before.handleRow(rowOf({"front-2", false, ""}, 5), bootStart, bootStart);
    before.handleCommitted(before.acquisitionWrite(engineAddress), 9, bootStart, bootStart);
    const Store::RowWrite completion = before.completionWrite(engineAddress);
    OrderLease after(options, {"side-1", true, ""});
    after.handleRow(Store::TableRow{engineAddress, *completion.value, 12, false}, bootStart + 16s, bootStart + 16s);
    EXPECT_TRUE(after.mayOrder(bootStart + 16s));
    // It also ends the wait of a process that started before the commit of an earlier one was executed.
    OrderLease waiting(options, {"side-1", true, ""});
    waiting.handleRow(rowOf({"side-1", true, "front-2"}, 9), bootStart + 5s, bootStart + 5s);
    EXPECT_FALSE(waiting.mayOrder(bootStart + 5s));
    waiting.handleRow(Store::TableRow{engineAddress, *completion.value, 12, false}, bootStart + 6s, bootStart + 6s);
    EXPECT_TRUE(waiting.mayOrder(bootStart + 6s));
}

// The commit that acquired the row may have been executed right before the answer.
TEST(OrderLeaseTest, waitsFromTheAnswerIfTheAcquisitionTimeIsUnknown)
{
    const OrderLeaseOptions options;
    OrderLease lease(options, {"side-1", true, ""});
    lease.handleRow(rowOf({"side-1", true, "front-2"}, 9), bootStart, bootStart + 600ms);
    EXPECT_FALSE(lease.mayCompleteHandover(bootStart + 600ms + options.handoverWait() - 1ms));
    EXPECT_TRUE(lease.mayCompleteHandover(bootStart + 600ms + options.handoverWait()));
}

TEST(OrderLeaseTest, reportsEachWaitOnce)
{
    const OrderLeaseOptions options;
    OrderLease lease(options, {"side-1", true, ""});
    EXPECT_FALSE(lease.takeUnreportedWait(bootStart));
    lease.handleRow(rowOf({"side-1", true, "front-2"}, 9), bootStart, bootStart);
    EXPECT_EQ(lease.takeUnreportedWait(bootStart + 1s), options.handoverWait() - 1s);
    EXPECT_FALSE(lease.takeUnreportedWait(bootStart + 2s));
    lease.handleRow(rowOf({"front-2", false, "side-1"}, 12), bootStart + 3s, bootStart + 3s);
    lease.handleCommitted(lease.acquisitionWrite(engineAddress), 15, bootStart + 3s, bootStart + 3s);
    EXPECT_EQ(lease.takeUnreportedWait(bootStart + 3s), options.handoverWait());
    lease.handleCommitted(lease.completionWrite(engineAddress), 18, bootStart + 8s, bootStart + 8s);
    EXPECT_FALSE(lease.takeUnreportedWait(bootStart + 8s));
}

TEST(OrderLeaseTest, waitsAfterAStartDuringAHandover)
{
    OrderLease lease({}, {"front-2", false, ""});
    lease.handleRow(rowOf({"front-2", false, "side-1"}, 9), bootStart, bootStart);
    EXPECT_TRUE(lease.isHeld());
    EXPECT_FALSE(lease.mayOrder(bootStart));
    OrderLease unbroken({}, {"side-1", true, ""});
    unbroken.handleRow(rowOf({"side-1", true, ""}, 9), bootStart, bootStart);
    EXPECT_TRUE(unbroken.mayOrder(bootStart));
}

TEST(OrderLeaseTest, stopsOnceAnotherHostHoldsTheRow)
{
    OrderLease lease({}, {"side-1", true, ""});
    lease.handleCommitted(lease.acquisitionWrite(engineAddress), 5, bootStart, bootStart);
    lease.handleRow(rowOf({"front-2", false, "side-1"}, 9), bootStart + 100ms, bootStart + 100ms);
    EXPECT_FALSE(lease.mayOrder(bootStart + 100ms));
    // An older answer does not restore the lease.
    lease.handleRow(rowOf({"side-1", true, ""}, 5), bootStart + 200ms, bootStart + 200ms);
    EXPECT_FALSE(lease.mayOrder(bootStart + 200ms));
}

// The row and the received orders of the engine in the property tests.
struct SimulatedEngine
{
    std::optional<OrderHolder> holder;
    std::uint64_t revision = 0;
    std::uint64_t commits = 0;
    struct Order
    {
        std::string host;
        std::uint64_t fencingNumber;
        Core::BootTime arrival;
    };
    std::vector<Order> orders;
};

// The faults and latencies of the processes and the store in the property tests.
struct FaultProfile
{
    double lostAnswerProbability; ///< Probability that the answer of a call is lost.
    double killProbability; ///< Probability of a kill in each step in the second after a commit was sent.
    unsigned maximumCallTime; ///< Upper limit of the time until an answered call is executed, in milliseconds.
    unsigned maximumPause; ///< Upper limit of the random part of the pause between two actions, in milliseconds.
    bool isUneven = false; ///< Whether most calls take only a few milliseconds at a store that is slow for the others.
};

// Kills occur at any time, and most answers arrive.
constexpr FaultProfile usualFaults{0.15, 0.0005, 300, 400};

// Most processes are killed right after they acquired the row and restart at once; the store is slow and loses answers.
constexpr FaultProfile frequentKills{0.4, 0.02, 600, 50};

// As before, but calls after a late answer are fast, so that later calls don't compensate for a wait that starts too early.
constexpr FaultProfile unevenLatencies{0.4, 0.02, 600, 50, true};

// A process that orders whenever it may, with pauses and with answers of the store that arrive late or never.
class OrderingProcess
{
public:
    OrderingProcess(SimulatedEngine &engine, const std::string &host, bool isAgent, const FaultProfile &faults, std::uint64_t seed)
        : m_engine(engine)
        , m_faults(faults)
        , m_host(host)
        , m_self{host, isAgent, ""}
        , m_random(seed)
        , m_lease({}, m_self)
    {
    }

    void step(Core::BootTime now)
    {
        executeDueCalls(now);
        if (now < m_pausedUntil) {
            return;
        }
        if (m_random.uniform() < 0.002) {
            m_pausedUntil = now + milliseconds(m_random.next() % 8000);
            return;
        }
        if (m_random.uniform() < (now < m_writtenAt + 1s ? m_faults.killProbability : 0.0005)) {
            m_lease = OrderLease({}, m_self); // The process is killed and restarted.
            m_call.reset();
        }
        handleAnswer(now);
        if (m_call.has_value() || now < m_nextActionAt) {
            return;
        }
        m_nextActionAt = now + milliseconds(m_faults.maximumPause / 8 + m_random.next() % m_faults.maximumPause);
        if (m_lease.mayOrder(now)) {
            m_engine.orders.push_back({m_host, m_lease.fencingNumber(), now + milliseconds(m_random.next() % 250)});
        } else if (!m_lease.isHeld() && m_random.uniform() < 0.3) {
            sendCall(now, m_lease.acquisitionWrite(engineAddress));
        } else if (m_lease.mayCompleteHandover(now)) {
            sendCall(now, m_lease.completionWrite(engineAddress));
        } else if (m_lease.isStale(now)) {
            sendCall(now, std::nullopt);
        }
    }

private:
    struct StoreCall
    {
        Core::BootTime askedAt;
        Core::BootTime executedAt;
        Core::BootTime answeredAt;
        std::optional<Store::RowWrite> write;
        bool isExecuted = false;
        bool isLost = false;
        bool isCommitted = false;
        std::uint64_t revision = 0;
        std::optional<Store::TableRow> row;
    };

    void sendCall(Core::BootTime now, std::optional<Store::RowWrite> write)
    {
        StoreCall call;
        call.askedAt = now;
        const bool isQuick = m_faults.isUneven && m_random.uniform() < 0.7;
        call.executedAt = now + milliseconds(m_random.next() % (isQuick ? 10 : m_faults.maximumCallTime));
        call.isLost = m_random.uniform() < m_faults.lostAnswerProbability;
        call.answeredAt = call.isLost ? now + 700ms : call.executedAt + milliseconds(m_random.next() % (isQuick ? 10 : 300));
        if (call.isLost) {
            call.executedAt = now + milliseconds(m_random.next() % 3000); // The call may be executed after its caller gave up.
        }
        if (write.has_value()) {
            m_writtenAt = now;
        }
        call.write = std::move(write);
        m_call = call;
        m_pendingCalls.push_back(call);
    }

    void execute(StoreCall &call)
    {
        call.isExecuted = true;
        if (call.write.has_value() && call.write->expectedRevision == m_engine.revision) {
            m_engine.holder = OrderHolder::decode(*call.write->value).value();
            m_engine.revision = ++m_engine.commits;
            call.isCommitted = true;
        }
        call.revision = m_engine.revision;
        call.row = m_engine.holder.has_value() ? std::optional(rowOf(*m_engine.holder, m_engine.revision)) : std::nullopt;
    }

    void executeDueCalls(Core::BootTime now)
    {
        for (StoreCall &call : m_pendingCalls) {
            if (!call.isExecuted && now >= call.executedAt) {
                execute(call);
                if (m_call.has_value() && m_call->askedAt == call.askedAt) {
                    *m_call = call;
                }
            }
        }
        std::erase_if(m_pendingCalls, [](const StoreCall &call) { return call.isExecuted; });
    }

    void handleAnswer(Core::BootTime now)
    {
        if (!m_call.has_value() || now < m_call->answeredAt) {
            return;
        }
        const StoreCall call = *std::exchange(m_call, std::nullopt);
        if (call.isLost) {
            return;
        }
        if (call.isCommitted) {
            m_lease.handleCommitted(*call.write, call.revision, call.askedAt, now);
        } else {
            m_lease.handleRow(call.row, call.askedAt, now);
        }
    }

    SimulatedEngine &m_engine;
    const FaultProfile &m_faults;
    std::string m_host;
    OrderHolder m_self;
    RandomSource m_random;
    OrderLease m_lease;
    std::optional<StoreCall> m_call;
    std::vector<StoreCall> m_pendingCalls;
    Core::BootTime m_pausedUntil{};
    Core::BootTime m_nextActionAt{};
    Core::BootTime m_writtenAt{}; ///< Time of the last commit that was sent.
};

// Returns the orders that an agent and two routers give to one engine, by arrival. All of them try to order and are paused, killed and cut off from answers
// at any time.
std::vector<SimulatedEngine::Order> simulateOrders(const FaultProfile &faults, std::uint64_t seed)
{
    SimulatedEngine engine;
    std::vector<OrderingProcess> processes;
    processes.emplace_back(engine, "side-1", true, faults, seed);
    processes.emplace_back(engine, "front-1", false, faults, seed + 1ULL);
    processes.emplace_back(engine, "front-2", false, faults, seed + 2ULL);
    for (Core::BootTime now = bootStart; now < bootStart + 60s; now += 10ms) {
        for (OrderingProcess &process : processes) {
            process.step(now);
        }
    }
    std::sort(engine.orders.begin(), engine.orders.end(), [](const auto &left, const auto &right) { return left.arrival < right.arrival; });
    return engine.orders;
}

bool isHandoverIntervalKept(const SimulatedEngine::Order &before, const SimulatedEngine::Order &after)
{
    return before.host == after.host || before.arrival + OrderLeaseOptions().handoverInterval <= after.arrival;
}

bool areFencingNumbersRising(const SimulatedEngine::Order &before, const SimulatedEngine::Order &after)
{
    return before.host == after.host ? before.fencingNumber <= after.fencingNumber : before.fencingNumber < after.fencingNumber;
}

TEST(OrderLeasePropertyTest, neverLetsTwoHoldersOrderWithinTheHandoverInterval)
{
    for (const FaultProfile &faults : {usualFaults, frequentKills, unevenLatencies}) {
        EXPECT_TRUE(rc::check([&faults] {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            const std::vector<SimulatedEngine::Order> orders = simulateOrders(faults, seed);
            for (std::size_t order = 1; order < orders.size(); ++order) {
                RC_ASSERT(isHandoverIntervalKept(orders[order - 1], orders[order]));
                RC_ASSERT(areFencingNumbersRising(orders[order - 1], orders[order]));
            }
        }));
    }
}

// A process was killed right after it had sent the commit that acquired the row, and the commit was executed while the next process of its host read the row.
// That process started its wait at its request, up to 0.6 s before the commit, and ordered within the handover interval.
TEST(OrderLeasePropertyTest, keepsTheHandoverIntervalIfTheRowIsAcquiredDuringARead)
{
    for (const std::uint64_t seed : {58313, 368238, 3661986, 6123412}) {
        const std::vector<SimulatedEngine::Order> orders = simulateOrders(frequentKills, seed);
        for (std::size_t order = 1; order < orders.size(); ++order) {
            EXPECT_TRUE(isHandoverIntervalKept(orders[order - 1], orders[order])) << "seed " << seed;
            EXPECT_TRUE(areFencingNumbersRising(orders[order - 1], orders[order])) << "seed " << seed;
        }
    }
}

class OrderFailoverTest : public testing::Test
{
protected:
    static constexpr int engineCount = 6;

    // Returns a router with its own random start delay.
    OrderFailover router(const std::string &host, std::uint64_t seed) const
    {
        return OrderFailover({}, {}, {}, host, seed);
    }

    static std::string address(int engine)
    {
        return "10.0.0." + std::to_string(engine) + ":8000";
    }

    void updateEngines(OrderFailover &router) const
    {
        std::vector<OrphanedEngine> engines;
        WeightsGoal goal{m_version, m_announcedAt, {}};
        for (int engine = 0; engine < engineCount; ++engine) {
            engines.push_back({"i-" + std::to_string(engine), address(engine), "m", m_version, start});
            goal.holders.push_back({engines.back().id, m_version - 1});
        }
        router.updateEngines(std::move(engines), {{"m", goal}});
    }

    // Runs one step of \a router with a store that answers at once; returns how many engines it may order.
    std::size_t step(OrderFailover &router)
    {
        updateEngines(router);
        const FailoverSteps steps = router.nextSteps(m_now, boot());
        if (steps.isReadNeeded) {
            ++m_reads;
            router.handleRows(m_rows, boot(), boot(), m_now);
        } else if (!steps.handoverCompletions.empty()) {
            commit(router, steps.handoverCompletions);
        } else if (!steps.acquisitions.empty()) {
            commit(router, steps.acquisitions);
        }
        for (const OrphanedEngine &engine : steps.probes) {
            if (m_lostEngines.contains(engine.address)) {
                router.postponeProbe(engine.address, m_now + 400ms);
            } else {
                router.markReachable(engine.address, m_now);
            }
        }
        for (const OrphanedEngine &engine : steps.enginesToOrder) {
            EXPECT_TRUE(router.lease(engine.address)->mayOrder(boot()));
            router.postponeProbe(engine.address, m_now + 1s);
        }
        return steps.enginesToOrder.size();
    }

    void commit(OrderFailover &router, const std::vector<Store::RowWrite> &writes)
    {
        Store::CommitAnswer answer;
        answer.outcome = Store::CommitOutcome::Committed;
        for (const Store::RowWrite &write : writes) {
            const auto row = std::find_if(m_rows.begin(), m_rows.end(), [&](const Store::TableRow &one) { return one.key == write.key; });
            if ((row == m_rows.end() ? 0 : row->revision) != write.expectedRevision) {
                answer.outcome = Store::CommitOutcome::Conflict;
            }
        }
        if (answer.outcome == Store::CommitOutcome::Committed) {
            answer.revision = ++m_revision;
            ++m_commits;
            for (const Store::RowWrite &write : writes) {
                putRow({write.key, *write.value, m_revision, false});
            }
        }
        router.handleCommit(writes, answer, boot(), boot());
    }

    void putRow(const Store::TableRow &row)
    {
        std::erase_if(m_rows, [&row](const Store::TableRow &one) { return one.key == row.key; });
        m_rows.push_back(row);
    }

    Core::BootTime boot() const
    {
        return bootStart + (m_now - start);
    }

    static constexpr Core::TimePoint start = Core::TimePoint() + 1h;
    Core::TimePoint m_now = start;
    Core::TimePoint m_announcedAt = start;
    std::uint64_t m_version = 2;
    std::vector<Store::TableRow> m_rows;
    std::uint64_t m_revision = 0;
    std::set<std::string> m_lostEngines; ///< Addresses of engines that do not answer.
    int m_reads = 0;
    int m_commits = 0; ///< Number of successful commits.
};

// No engine has a host with an agent. Under this load half of all requests were refused once the weights were too old.
TEST_F(OrderFailoverTest, letsOneRouterOrderEachEngineSoonAfterAnAnnouncement)
{
    constexpr int routerCount = 10;
    std::vector<OrderFailover> routers;
    routers.reserve(routerCount);
    for (int number = 0; number < routerCount; ++number) {
        routers.push_back(router("front-" + std::to_string(number), number));
    }
    std::vector<std::size_t> ordered(routerCount);
    for (; m_now < start + 2500ms; m_now += 250ms) {
        for (int number = 0; number < routerCount; ++number) {
            ordered[number] += step(routers[number]);
        }
    }
    EXPECT_EQ(m_commits, 1);
    EXPECT_EQ(std::count_if(ordered.begin(), ordered.end(), [](std::size_t orders) { return orders > 0; }), 1);
    EXPECT_GE(*std::max_element(ordered.begin(), ordered.end()), 3U);
}

// A router that starts may not learn when the weights were announced; the announcement time is then the minimum of the clock.
TEST_F(OrderFailoverTest, ordersEnginesIfTheAnnouncementTimeIsUnknown)
{
    m_announcedAt = Core::TimePoint::min();
    OrderFailover only = router("front-1", 1);
    std::size_t ordered = 0;
    for (; m_now < start + 2500ms; m_now += 250ms) {
        ordered += step(only);
    }
    EXPECT_EQ(m_commits, 1);
    EXPECT_GE(ordered, 3U);
}

// Hosts are lost together with their engines. When both are back, the agent has to be able to order at once.
TEST_F(OrderFailoverTest, acquiresNoRowOfALostEngine)
{
    m_lostEngines = {address(0), address(1)};
    OrderFailover router = this->router("front-1", 1);
    for (; m_now < start + 10s; m_now += 250ms) {
        step(router);
    }
    EXPECT_EQ(m_rows.size(), engineCount - m_lostEngines.size());
    for (const Store::TableRow &row : m_rows) {
        EXPECT_FALSE(m_lostEngines.contains(row.key));
    }
}

TEST_F(OrderFailoverTest, replacesARouterThatHoldsRowsAndGivesNoOrders)
{
    OrderFailover lost = router("front-1", 1);
    for (; m_commits == 0; m_now += 250ms) {
        step(lost);
    }
    OrderFailover other = router("front-2", 2);
    std::size_t ordered = 0;
    for (; m_now < start + 14s; m_now += 250ms) {
        ordered += step(other);
    }
    EXPECT_GE(ordered, static_cast<std::size_t>(engineCount));
}

TEST_F(OrderFailoverTest, acquiresNoRowFromARouterThatIsInTime)
{
    OrderFailover first = router("front-1", 1);
    OrderFailover second = router("front-2", 2);
    for (; m_now < start + 3500ms; m_now += 250ms) {
        step(first);
        step(second);
    }
    EXPECT_EQ(m_commits, 1);
}

// An agent and a router that cannot reach each other must not acquire the row from each other forever.
TEST_F(OrderFailoverTest, acquiresNoRowThatAnAgentHasReacquired)
{
    putRow({address(0), OrderHolder{"side-0", true, ""}.encode(), ++m_revision, false});
    OrderFailover router = this->router("front-1", 1);
    for (; m_commits == 0; m_now += 250ms) {
        step(router);
    }
    putRow({address(0), OrderHolder{"side-0", true, "front-1"}.encode(), ++m_revision, false});
    const std::uint64_t taken = m_revision;
    for (const Core::TimePoint end = m_now + 7s; m_now < end; m_now += 250ms) {
        step(router);
    }
    const auto row = std::find_if(m_rows.begin(), m_rows.end(), [](const Store::TableRow &one) { return one.key == address(0); });
    EXPECT_EQ(row->revision, taken);
}

// The agent's row shows that its handover is complete and that it could have ordered, so the router waits only for the duration of a load.
TEST_F(OrderFailoverTest, replacesALostAgentOnceItsHandoverIsComplete)
{
    putRow({address(0), OrderHolder{"side-0", true, ""}.encode(), ++m_revision, false});
    OrderFailover router = this->router("front-1", 1);
    for (; m_commits == 0; m_now += 250ms) {
        step(router);
    }
    const Core::TimePoint taken = m_now;
    putRow({address(0), OrderHolder{"side-0", true, "front-1"}.encode(), ++m_revision, false});
    const auto isAgents = [this] {
        const auto row = std::find_if(m_rows.begin(), m_rows.end(), [](const Store::TableRow &one) { return one.key == address(0); });
        return OrderHolder::decode(row->value).value().isAgent;
    };
    for (; m_now < taken + 4500ms; m_now += 250ms) {
        step(router);
    }
    putRow({address(0), OrderHolder{"side-0", true, ""}.encode(), ++m_revision, false});
    for (; isAgents(); m_now += 250ms) {
        step(router);
    }
    EXPECT_GE(m_now, taken + 7s);
    EXPECT_LE(m_now, taken + 4500ms + 3s + 1500ms);
}

// Engines kept old weights for longer than these may be used. Their agents had reacquired the rows from a router; restarted 16 s later, each waited as if the
// handover had just begun:
// - 9.50 agent orders_taken after=router-b
// - 25.25 agent process_started
// - 27.00 no order, although the rollout slot of the engine had come
// - 31.26 agent weights_ordered answer=0
// The row named the previous holder forever, and each process counted the handover from its first read of the row.
TEST_F(OrderFailoverTest, ordersAtOnceAfterAStartLongAfterTheHandover)
{
    for (int engine = 0; engine < engineCount; ++engine) {
        putRow({address(engine), OrderHolder{"side-" + std::to_string(engine), true, ""}.encode(), ++m_revision, false});
    }
    OrderFailover before = router("front-1", 1);
    std::size_t ordered = 0;
    for (; m_now < start + 8s; m_now += 250ms) {
        ordered += step(before);
    }
    ASSERT_GE(ordered, static_cast<std::size_t>(engineCount));
    m_now = start + 20s;
    m_announcedAt = m_now;
    m_version = 3;
    OrderFailover after = router("front-1", 2);
    for (ordered = 0; ordered == 0; m_now += 250ms) {
        ordered += step(after);
    }
    EXPECT_LE(m_now, m_announcedAt + 2500ms);
}

} // namespace

} // namespace Verbena::Decisions
