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

TEST(OrderHolderTest, readsWhatItWrote)
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

TEST(OrderLeaseTest, ordersAtOnceIfNobodyDidBefore)
{
    OrderLease lease({}, {"side-1", true, ""});
    EXPECT_FALSE(lease.mayOrder(bootStart));
    EXPECT_EQ(lease.take(engineAddress).expectedRevision, 0U);
    lease.noteTaken(5, bootStart, bootStart + 10ms);
    EXPECT_TRUE(lease.mayOrder(bootStart + 10ms));
    EXPECT_EQ(lease.fence(), 5U);
    // What it knows of the row is too old by then.
    EXPECT_FALSE(lease.mayOrder(bootStart + 1s));
    EXPECT_TRUE(lease.isStale(bootStart + 1s));
}

TEST(OrderLeaseTest, waitsUntilTheEarlierHolderCannotOrderAnyMore)
{
    const OrderLeaseOptions options;
    OrderLease lease(options, {"front-2", false, ""});
    lease.noteRow(rowOf({"side-1", true, ""}, 5), bootStart);
    EXPECT_FALSE(lease.isHeld());
    lease.noteTaken(9, bootStart, bootStart);
    const Core::BootTime first = bootStart + options.trust + options.handOver + options.margin;
    EXPECT_EQ(lease.usableFrom(), first);
    EXPECT_FALSE(lease.mayOrder(bootStart + 500ms));
    lease.noteRow(rowOf({"front-2", false, "side-1"}, 9), first);
    EXPECT_TRUE(lease.mayOrder(first));
}

TEST(OrderLeaseTest, waitsAlsoAfterAStartInTheMiddleOfAHandOver)
{
    OrderLease lease({}, {"front-2", false, ""});
    lease.noteRow(rowOf({"front-2", false, "side-1"}, 9), bootStart);
    EXPECT_TRUE(lease.isHeld());
    EXPECT_FALSE(lease.mayOrder(bootStart));
    OrderLease unbroken({}, {"side-1", true, ""});
    unbroken.noteRow(rowOf({"side-1", true, ""}, 9), bootStart);
    EXPECT_TRUE(unbroken.mayOrder(bootStart));
}

TEST(OrderLeaseTest, stopsOnceAnotherOneHoldsTheRow)
{
    OrderLease lease({}, {"side-1", true, ""});
    lease.noteTaken(5, bootStart, bootStart);
    lease.noteRow(rowOf({"front-2", false, "side-1"}, 9), bootStart + 100ms);
    EXPECT_FALSE(lease.mayOrder(bootStart + 100ms));
    // An answer from before does not bring it back.
    lease.noteRow(rowOf({"side-1", true, ""}, 5), bootStart + 200ms);
    EXPECT_FALSE(lease.mayOrder(bootStart + 200ms));
}

// The row and the engine of the property below.
struct World
{
    std::optional<OrderHolder> holder;
    std::uint64_t revision = 0;
    std::uint64_t commits = 0;
    struct Order
    {
        std::string host;
        std::uint64_t fence;
        Core::BootTime arrival;
    };
    std::vector<Order> orders;
};

// A process that wants to order whenever it can, with answers of the store that come late or never, and pauses.
class Orderer
{
public:
    Orderer(World &world, const std::string &host, bool isAgent, std::uint64_t seed)
        : m_world(world)
        , m_host(host)
        , m_self{host, isAgent, ""}
        , m_random(seed)
        , m_lease({}, m_self)
    {
    }

    void step(Core::BootTime now)
    {
        applyDue(now);
        if (now < m_pausedUntil) {
            return;
        }
        if (m_random.uniform() < 0.002) {
            m_pausedUntil = now + milliseconds(m_random.next() % 8000);
            return;
        }
        if (m_random.uniform() < 0.0005) {
            m_lease = OrderLease({}, m_self); // Killed and started again.
            m_question.reset();
        }
        takeAnswer(now);
        if (m_question.has_value() || now < m_next) {
            return;
        }
        m_next = now + milliseconds(50 + m_random.next() % 400);
        if (m_lease.mayOrder(now)) {
            m_world.orders.push_back({m_host, m_lease.fence(), now + milliseconds(m_random.next() % 250)});
        } else if (!m_lease.isHeld() && m_random.uniform() < 0.3) {
            ask(now, m_lease.take(engineAddress));
        } else if (m_lease.isStale(now)) {
            ask(now, std::nullopt);
        }
    }

private:
    struct Question
    {
        Core::BootTime askedAt;
        Core::BootTime appliedAt;
        Core::BootTime answeredAt;
        std::optional<Store::RowWrite> write;
        bool isApplied = false;
        bool isLost = false;
        bool isCommitted = false;
        std::uint64_t revision = 0;
        std::optional<Store::TableRow> row;
    };

    void ask(Core::BootTime now, std::optional<Store::RowWrite> write)
    {
        Question question;
        question.askedAt = now;
        question.appliedAt = now + milliseconds(m_random.next() % 300);
        question.isLost = m_random.uniform() < 0.15;
        question.answeredAt = question.isLost ? now + 700ms : question.appliedAt + milliseconds(m_random.next() % 300);
        if (question.isLost) {
            question.appliedAt = now + milliseconds(m_random.next() % 3000); // It may be carried out after its caller gave up.
        }
        question.write = std::move(write);
        m_question = question;
        m_unapplied.push_back(question);
    }

    void apply(Question &question)
    {
        question.isApplied = true;
        if (question.write.has_value() && question.write->expectedRevision == m_world.revision) {
            m_world.holder = OrderHolder::decode(*question.write->value).value();
            m_world.revision = ++m_world.commits;
            question.isCommitted = true;
        }
        question.revision = m_world.revision;
        question.row = m_world.holder.has_value() ? std::optional(rowOf(*m_world.holder, m_world.revision)) : std::nullopt;
    }

    void applyDue(Core::BootTime now)
    {
        for (Question &question : m_unapplied) {
            if (!question.isApplied && now >= question.appliedAt) {
                apply(question);
                if (m_question.has_value() && m_question->askedAt == question.askedAt) {
                    *m_question = question;
                }
            }
        }
        std::erase_if(m_unapplied, [](const Question &question) { return question.isApplied; });
    }

    void takeAnswer(Core::BootTime now)
    {
        if (!m_question.has_value() || now < m_question->answeredAt) {
            return;
        }
        const Question question = *std::exchange(m_question, std::nullopt);
        if (question.isLost) {
            return;
        }
        if (question.isCommitted) {
            m_lease.noteTaken(question.revision, question.askedAt, now);
        } else {
            m_lease.noteRow(question.row, question.askedAt);
        }
    }

    World &m_world;
    std::string m_host;
    OrderHolder m_self;
    RandomSource m_random;
    OrderLease m_lease;
    std::optional<Question> m_question;
    std::vector<Question> m_unapplied;
    Core::BootTime m_pausedUntil{};
    Core::BootTime m_next{};
};

// An agent and two routers that all want to order one engine, paused, killed and cut off from answers at any moment.
TEST(OrderLeasePropertyTest, neverLetsTwoHoldersOrderWithinTheHandOver)
{
    EXPECT_TRUE(rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        World world;
        std::vector<Orderer> orderers;
        orderers.emplace_back(world, "side-1", true, seed);
        orderers.emplace_back(world, "front-1", false, seed + 1ULL);
        orderers.emplace_back(world, "front-2", false, seed + 2ULL);
        for (Core::BootTime now = bootStart; now < bootStart + 60s; now += 10ms) {
            for (Orderer &orderer : orderers) {
                orderer.step(now);
            }
        }
        std::sort(world.orders.begin(), world.orders.end(), [](const auto &left, const auto &right) { return left.arrival < right.arrival; });
        for (std::size_t order = 1; order < world.orders.size(); ++order) {
            const World::Order &before = world.orders[order - 1];
            const World::Order &after = world.orders[order];
            RC_ASSERT(before.host == after.host || before.arrival + OrderLeaseOptions().handOver <= after.arrival);
            RC_ASSERT(before.fence <= after.fence);
            RC_ASSERT(before.host == after.host || before.fence < after.fence);
        }
    }));
}

class OrderFailoverTest : public testing::Test
{
protected:
    static constexpr int engineCount = 6;

    // A router with its own moment to begin.
    OrderFailover router(const std::string &host, std::uint64_t seed) const
    {
        return OrderFailover({}, {}, {}, host, seed);
    }

    static std::string address(int engine)
    {
        return "10.0.0." + std::to_string(engine) + ":8000";
    }

    void follow(OrderFailover &router) const
    {
        std::vector<OrphanedEngine> engines;
        WeightsGoal goal{m_version, m_namedAt, {}};
        for (int engine = 0; engine < engineCount; ++engine) {
            engines.push_back({"i-" + std::to_string(engine), address(engine), "m", m_version, start});
            goal.holders.push_back({engines.back().id, m_version - 1});
        }
        router.follow(std::move(engines), {{"m", goal}});
    }

    // One turn of \a router with a store that answers at once; returns how many engines it may order.
    std::size_t turn(OrderFailover &router)
    {
        follow(router);
        const FailoverSteps steps = router.next(m_now, boot());
        if (steps.isReadWanted) {
            ++m_reads;
            router.noteRows(m_rows, boot(), m_now);
        } else if (!steps.takes.empty()) {
            commit(router, steps.takes);
        }
        for (const OrphanedEngine &engine : steps.looks) {
            if (m_lost.contains(engine.address)) {
                router.postpone(engine.address, m_now + 400ms);
            } else {
                router.noteAlive(engine.address, m_now);
            }
        }
        for (const OrphanedEngine &engine : steps.orders) {
            EXPECT_TRUE(router.lease(engine.address)->mayOrder(boot()));
            router.postpone(engine.address, m_now + 1s);
        }
        return steps.orders.size();
    }

    void commit(OrderFailover &router, const std::vector<Store::RowWrite> &takes)
    {
        Store::CommitAnswer answer;
        answer.outcome = Store::CommitOutcome::Committed;
        for (const Store::RowWrite &take : takes) {
            const auto row = std::find_if(m_rows.begin(), m_rows.end(), [&](const Store::TableRow &one) { return one.key == take.key; });
            if ((row == m_rows.end() ? 0 : row->revision) != take.expectedRevision) {
                answer.outcome = Store::CommitOutcome::Conflict;
            }
        }
        if (answer.outcome == Store::CommitOutcome::Committed) {
            answer.revision = ++m_revision;
            ++m_commits;
            for (const Store::RowWrite &take : takes) {
                put({take.key, *take.value, m_revision, false});
            }
        }
        router.noteCommit(takes, answer, boot(), boot());
    }

    void put(const Store::TableRow &row)
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
    Core::TimePoint m_namedAt = start;
    std::uint64_t m_version = 2;
    std::vector<Store::TableRow> m_rows;
    std::uint64_t m_revision = 0;
    std::set<std::string> m_lost; ///< Engines that answer nobody.
    int m_reads = 0;
    int m_commits = 0; ///< Those that were made.
};

// No host beside any engine: the load that refused half of all requests once the weights were too old.
TEST_F(OrderFailoverTest, letsOneRouterOrderEachEngineSoonAfterWeightsWereNamed)
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
            ordered[number] += turn(routers[number]);
        }
    }
    EXPECT_EQ(m_commits, 1);
    EXPECT_EQ(std::count_if(ordered.begin(), ordered.end(), [](std::size_t orders) { return orders > 0; }), 1);
    EXPECT_GE(*std::max_element(ordered.begin(), ordered.end()), 3U);
}

// A router that starts may not learn since when the weights are named; the moment that says so is as far in the past as the clock goes.
TEST_F(OrderFailoverTest, ordersEnginesAlsoIfNobodyKnowsSinceWhen)
{
    m_namedAt = Core::TimePoint::min();
    OrderFailover only = router("front-1", 1);
    std::size_t ordered = 0;
    for (; m_now < start + 2500ms; m_now += 250ms) {
        ordered += turn(only);
    }
    EXPECT_EQ(m_commits, 1);
    EXPECT_GE(ordered, 3U);
}

// Hosts that are lost with their engines: when both are back, the agent has to be able to order at once.
TEST_F(OrderFailoverTest, takesNoRowOfAnEngineThatIsLostToo)
{
    m_lost = {address(0), address(1)};
    OrderFailover router = this->router("front-1", 1);
    for (; m_now < start + 10s; m_now += 250ms) {
        turn(router);
    }
    EXPECT_EQ(m_rows.size(), engineCount - m_lost.size());
    for (const Store::TableRow &row : m_rows) {
        EXPECT_FALSE(m_lost.contains(row.key));
    }
}

TEST_F(OrderFailoverTest, replacesARouterThatTookTheRowsAndDoesNothing)
{
    OrderFailover lost = router("front-1", 1);
    for (; m_commits == 0; m_now += 250ms) {
        turn(lost);
    }
    OrderFailover other = router("front-2", 2);
    std::size_t ordered = 0;
    for (; m_now < start + 14s; m_now += 250ms) {
        ordered += turn(other);
    }
    EXPECT_GE(ordered, static_cast<std::size_t>(engineCount));
}

TEST_F(OrderFailoverTest, takesNoRowFromARouterThatIsInTime)
{
    OrderFailover first = router("front-1", 1);
    OrderFailover second = router("front-2", 2);
    for (; m_now < start + 3500ms; m_now += 250ms) {
        turn(first);
        turn(second);
    }
    EXPECT_EQ(m_commits, 1);
}

// An agent and a router that do not hear each other must not take the row from each other for ever.
TEST_F(OrderFailoverTest, leavesAnAgentAloneThatHasTakenTheRowBack)
{
    put({address(0), OrderHolder{"side-0", true, ""}.encode(), ++m_revision, false});
    OrderFailover router = this->router("front-1", 1);
    for (; m_commits == 0; m_now += 250ms) {
        turn(router);
    }
    put({address(0), OrderHolder{"side-0", true, "front-1"}.encode(), ++m_revision, false});
    const std::uint64_t taken = m_revision;
    for (const Core::TimePoint end = m_now + 7s; m_now < end; m_now += 250ms) {
        turn(router);
    }
    const auto row = std::find_if(m_rows.begin(), m_rows.end(), [](const Store::TableRow &one) { return one.key == address(0); });
    EXPECT_EQ(row->revision, taken);
}

} // namespace

} // namespace Verbena::Decisions
