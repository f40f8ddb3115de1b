#include "plainprotocol.h"

#include <platform/workerfake.h>
#include <relay/peerrows.h>
#include <relay/weightsnamings.h>

#include <gtest/gtest.h>

#include <optional>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

/// Answers each commit a moment later, as a test wants, and keeps what was to be written.
class RecordStore : public Store::RowStore
{
public:
    explicit RecordStore(EventLoop::Loop &loop)
        : m_timer(loop, [this] { respond(); })
        , m_loop(loop)
    {
    }

    void readRow(const std::string &, const std::string &, Core::TimePoint, RowCallback done) override
    {
        ++reads;
        done(record);
    }

    void commit(const std::string &, const std::vector<Store::RowWrite> &writes, Core::TimePoint, CommitCallback done) override
    {
        values.push_back(writes.front().value.value_or(""));
        m_done = std::move(done);
        m_timer.startAt(m_loop.now() + 1ms);
    }

    Store::CommitAnswer answer{Store::CommitOutcome::Committed, 1, {}, ""};
    std::vector<std::string> values;
    std::optional<Store::TableRow> record;
    int reads = 0;

private:
    void respond()
    {
        const CommitCallback done = std::move(m_done);
        done(answer);
    }

    EventLoop::Timer m_timer;
    EventLoop::Loop &m_loop;
    CommitCallback m_done;
};

/// A store that turns this host away.
class RefusingStore : public Store::RowSource
{
public:
    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        done(Core::Error{Core::ErrorCode::Unavailable, "store", "", "It turns this host away."});
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback done) override
    {
        done(Core::Error{Core::ErrorCode::Unavailable, "store", "", "It turns this host away."});
    }
};

class WeightsNamingsTest : public testing::Test
{
protected:
    WeightsNamingsTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_records(*m_loop)
    {
        RelaySettings settings;
        settings.listen = Http::Endpoint::parse("127.0.0.1:0").value();
        settings.routerCount = 1;
        m_relay = std::move(RelayTask::create(*m_loop, settings, m_protocol).value());
        m_namings = std::make_unique<WeightsNamings>(*m_loop, m_records, *m_relay, 8000ms);
    }

    void pass(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_loop->now() + span;
        EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [&] { return m_loop->now() >= end; }));
    }

    static Store::TableRow row(std::uint64_t version, std::uint64_t revision, std::optional<Store::StoreTime> committedAfter)
    {
        return {"version/m", std::to_string(version), revision, false, committedAfter};
    }

    Verbena::Test::PlainProtocol m_protocol;
    std::unique_ptr<EventLoop::Loop> m_loop;
    RecordStore m_records;
    std::unique_ptr<RelayTask> m_relay;
    std::unique_ptr<WeightsNamings> m_namings;
};

TEST_F(WeightsNamingsTest, countsWeightsThatNobodyCanDateAsTooOld)
{
    m_namings->noteClock({Store::StoreTime(100s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, std::nullopt), "table");
    pass(600ms);
    EXPECT_EQ(m_relay->fleet().weightsGoals().at("m").announcedAt, Core::TimePoint::min());
}

// Who learned of a naming late dates it too early; one that saw it made has written a better date.
TEST_F(WeightsNamingsTest, asksForABetterDateThanOneThatMayBeFarOff)
{
    m_records.record = Store::TableRow{"m", "3 4 101500\n", 9, false, {}};
    m_namings->noteClock({Store::StoreTime(102s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    pass(100ms);
    EXPECT_GT(m_relay->fleet().weightsGoals().at("m").announcedAt, m_loop->now() - 1s);
}

TEST_F(WeightsNamingsTest, writesWhatOthersRecordedTogetherWithItsOwn)
{
    m_records.answer = {Store::CommitOutcome::Conflict, 0, {{"m", "1 3 90000\n", 7, false, {}}}, ""};
    m_namings->noteClock({Store::StoreTime(100s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_records.values.size() > 1; }));
    EXPECT_EQ(m_records.values[1], "1 3 90000\n0 4 100000\n");
}

// A naming says nothing of the versions below the one before it: an engine that has one of those may be outdated since long ago.
TEST_F(WeightsNamingsTest, takesVersionsBelowTheRecordForTooOld)
{
    m_records.record = Store::TableRow{"m", "3 4 99500\n", 9, false, {}};
    m_namings->noteClock({Store::StoreTime(100s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, std::nullopt), "table");
    pass(50ms);
    Decisions::FleetChoice choice;
    choice.weightsVersion = 3;
    EXPECT_GT(m_relay->fleet().callBackTime(choice, "m"), m_loop->now() + 5s);
    choice.weightsVersion = 2;
    EXPECT_LT(m_relay->fleet().callBackTime(choice, "m"), m_loop->now());
}

TEST_F(WeightsNamingsTest, writesEachNamingOnceAndTellsAgentsOnce)
{
    int announced = 0;
    m_relay->setWeightsObserver([&announced] { ++announced; });
    m_namings->noteClock({Store::StoreTime(100s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    EXPECT_EQ(announced, 1);
    pass(900ms);
    EXPECT_EQ(m_records.values, std::vector<std::string>{"0 4 100000\n"});
    m_namings->take({"m", 5}, row(5, 5, Store::StoreTime(100s + 900ms)), "change");
    pass(900ms);
    ASSERT_EQ(m_records.values.size(), 2U);
    EXPECT_EQ(m_records.values[1], "0 4 100000\n4 5 100900\n");
    EXPECT_EQ(announced, 2);
}

// A router that starts learns of a naming with the whole table, and agents hear of it with its date, or when it is clear that nobody has one.
TEST_F(WeightsNamingsTest, tellsAgentsOfAnUndatedNamingOnceTheRecordWasAsked)
{
    int announced = 0;
    m_relay->setWeightsObserver([&announced] { ++announced; });
    m_namings->noteClock({Store::StoreTime(100s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, std::nullopt), "table");
    pass(6s);
    EXPECT_EQ(announced, 1);
    EXPECT_LE(m_records.reads, 6);
    EXPECT_GE(m_records.reads, 3);
    EXPECT_TRUE(m_records.values.empty());
}

// Who learned of a naming seconds late, and finds no record, writes the date that it can prove.
TEST_F(WeightsNamingsTest, writesADateThatMayBeTooEarlyWhereThereIsNone)
{
    m_namings->noteClock({Store::StoreTime(102s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return !m_records.values.empty(); }));
    EXPECT_EQ(m_records.values[0], "0 4 100000\n");
}

// A conflict names the rows that stand there; where the record is gone there are none to name.
TEST_F(WeightsNamingsTest, doesNotWriteWithoutPauseWhileTheStoreReportsAConflictWithoutRows)
{
    m_records.answer.outcome = Store::CommitOutcome::Conflict;
    m_namings->noteClock({Store::StoreTime(100s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    pass(600ms);
    EXPECT_LE(m_records.values.size(), 4U);
}

// A date that the store has not reached yet is wrong, whoever wrote it: the row was garbled, or the store's clock began anew. Believed, it would let old
// weights be used until that moment.
TEST_F(WeightsNamingsTest, doesNotBelieveADateThatIsStillToCome)
{
    m_records.record = Store::TableRow{"m", "3 4 900000\n", 9, false, {}};
    m_namings->noteClock({Store::StoreTime(100s), Core::BootClock::now()});
    m_namings->take({"m", 4}, row(4, 4, std::nullopt), "table");
    pass(100ms);
    EXPECT_GT(m_records.reads, 0);
    EXPECT_LE(m_relay->fleet().weightsGoals().at("m").announcedAt, m_loop->now());
}

// The peer knows the row only as it stands: dated by the last of two changes of which the asker missed both.
TEST_F(WeightsNamingsTest, datesTheFirstOfTwoNamingsThatAPeerTellsAtOnce)
{
    RefusingStore refusing;
    const std::string network = "127.79." + std::to_string(1 + getpid() % 250) + '.';
    constexpr std::uint16_t port = 7340;
    const auto peer = std::move(PeerRows::create(*m_loop, network + "1", port, refusing, 1).value());
    const auto own = std::move(PeerRows::create(*m_loop, network + "2", port, refusing, 2).value());
    own->book().note(network + "1", m_loop->now());
    const Store::StoreTime firstNamed(100s);
    peer->mirror().replace("op", {{row(3, 3, std::nullopt)}, 3, false});
    peer->mirror().applyChanges("op", {{row(4, 4, firstNamed)}, 4, false});
    peer->mirror().applyChanges("op", {{row(5, 5, firstNamed + 3s)}, 5, false});
    m_namings->noteClock({firstNamed + 3500ms, Core::BootClock::now()});
    m_namings->take({"m", 3}, row(3, 3, std::nullopt), "table");

    std::optional<Core::Result<Store::RowPage>> page;
    own->awaitChanges("op", 3, m_loop->now(), m_loop->now() + 1s, [&page](Core::Result<Store::RowPage> answer) { page = std::move(answer); });
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [&page] { return page.has_value(); }));
    ASSERT_TRUE(*page);
    for (const Store::TableRow &told : page->value().rows) {
        m_namings->take({"m", std::stoull(told.value)}, told, "change");
    }
    pass(600ms);
    for (const std::string &value : m_records.values) {
        const auto record = Decisions::WeightsRecord::decode(value);
        ASSERT_TRUE(record);
        for (const Decisions::DatedWeights &dated : record.value().entries()) {
            if (dated.after < 4 && dated.version >= 4) {
                EXPECT_LE(dated.notBefore, firstNamed) << value;
            }
        }
    }
    EXPECT_FALSE(m_records.values.empty());
}

} // namespace

} // namespace Verbena::Relay
