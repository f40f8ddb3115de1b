#include "plainprotocol.h"

#include <platform/workerfake.h>
#include <relay/peerrowsource.h>
#include <relay/weightsannouncements.h>

#include <gtest/gtest.h>

#include <optional>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t writtenInError = std::uint64_t(1) << 60;

// Answers each commit after 1 ms with the answer that a test sets, and records the values to be written.
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

// Store that refuses this host's requests.
class RefusingStore : public Store::RowSource
{
public:
    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        done(Core::Error{Core::ErrorCode::Unavailable, "store", "", "The store refuses requests of this host."});
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback done) override
    {
        done(Core::Error{Core::ErrorCode::Unavailable, "store", "", "The store refuses requests of this host."});
    }
};

class WeightsAnnouncementsTest : public testing::Test
{
protected:
    WeightsAnnouncementsTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_records(*m_loop)
    {
        RelaySettings settings;
        settings.listen = Http::Endpoint::parse("127.0.0.1:0").value();
        settings.routerCount = 1;
        m_relay = std::move(RelayTask::create(*m_loop, settings, m_protocol).value());
        EXPECT_TRUE(m_relay->listen());
        m_announcements = std::make_unique<WeightsAnnouncements>(*m_loop, m_records, *m_relay, 8000ms);
    }

    void wait(std::chrono::milliseconds duration)
    {
        const Core::TimePoint end = m_loop->now() + duration;
        EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [&] { return m_loop->now() >= end; }));
    }

    static Store::TableRow row(std::uint64_t version, std::uint64_t revision, std::optional<Store::StoreTime> committedAfter)
    {
        return {"version/m", std::to_string(version), revision, false, committedAfter};
    }

    std::optional<Core::TimePoint> callBackTime(std::uint64_t version) const
    {
        Decisions::FleetChoice choice;
        choice.weightsVersion = version;
        return m_relay->fleet().callBackTime(choice, "m");
    }

    Verbena::Test::PlainProtocol m_protocol;
    std::unique_ptr<EventLoop::Loop> m_loop;
    RecordStore m_records;
    std::unique_ptr<RelayTask> m_relay;
    std::unique_ptr<WeightsAnnouncements> m_announcements;
};

TEST_F(WeightsAnnouncementsTest, treatsWeightsOfUnknownAgeAsTooOld)
{
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, std::nullopt), "table");
    wait(600ms);
    EXPECT_EQ(m_relay->fleet().weightsGoals().at("m").announcedAt, Core::TimePoint::min());
}

// A router that receives an announcement late sets its time too early. One that received it as it was made has recorded a better time.
TEST_F(WeightsAnnouncementsTest, readsTheRecordIfTheAnnouncementTimeIsInaccurate)
{
    m_records.record = Store::TableRow{"m", "3 4 101500\n", 9, false, {}};
    m_announcements->addClockReading({Store::StoreTime(102s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    wait(100ms);
    EXPECT_GT(m_relay->fleet().weightsGoals().at("m").announcedAt, m_loop->now() - 1s);
}

TEST_F(WeightsAnnouncementsTest, mergesTheRecordsOfOthersWithItsOwn)
{
    m_records.answer = {Store::CommitOutcome::Conflict, 0, {{"m", "1 3 90000\n", 7, false, {}}}, ""};
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_records.values.size() > 1; }));
    EXPECT_EQ(m_records.values[1], "1 3 90000\n0 4 100000\n");
}

// An announcement says nothing about the versions below the previous one: an engine that has one of those may have been outdated for long.
TEST_F(WeightsAnnouncementsTest, treatsVersionsBelowTheRecordAsTooOld)
{
    m_records.record = Store::TableRow{"m", "3 4 99500\n", 9, false, {}};
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, std::nullopt), "table");
    wait(50ms);
    Decisions::FleetChoice choice;
    choice.weightsVersion = 3;
    EXPECT_GT(m_relay->fleet().callBackTime(choice, "m"), m_loop->now() + 5s);
    choice.weightsVersion = 2;
    EXPECT_LT(m_relay->fleet().callBackTime(choice, "m"), m_loop->now());
}

TEST_F(WeightsAnnouncementsTest, recordsAndSendsEachAnnouncementOnce)
{
    int announced = 0;
    m_relay->setWeightsObserver([&announced] { ++announced; });
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    EXPECT_EQ(announced, 1);
    wait(900ms);
    EXPECT_EQ(m_records.values, std::vector<std::string>{"0 4 100000\n"});
    m_announcements->handleAnnouncement({"m", 5}, row(5, 5, Store::StoreTime(100s + 900ms)), "change");
    wait(900ms);
    ASSERT_EQ(m_records.values.size(), 2U);
    EXPECT_EQ(m_records.values[1], "0 4 100000\n4 5 100900\n");
    EXPECT_EQ(announced, 2);
}

// A router that starts receives an announcement with the whole table. It sends it to agents once its time is known, or once it is clear that there is none.
TEST_F(WeightsAnnouncementsTest, sendsAnAnnouncementWithoutTimeOnceTheRecordWasRead)
{
    int announced = 0;
    m_relay->setWeightsObserver([&announced] { ++announced; });
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, std::nullopt), "table");
    wait(6s);
    EXPECT_EQ(announced, 1);
    EXPECT_LE(m_records.reads, 6);
    EXPECT_GE(m_records.reads, 3);
    EXPECT_TRUE(m_records.values.empty());
}

// A router that receives an announcement seconds late and finds no record writes the time that it can prove.
TEST_F(WeightsAnnouncementsTest, recordsATimeThatMayBeTooEarlyIfThereIsNone)
{
    m_announcements->addClockReading({Store::StoreTime(102s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return !m_records.values.empty(); }));
    EXPECT_EQ(m_records.values[0], "0 4 100000\n");
}

// A conflict contains the current rows; if the record was deleted there are none.
TEST_F(WeightsAnnouncementsTest, doesNotWriteWithoutPauseWhileTheStoreReportsAConflictWithoutRows)
{
    m_records.answer.outcome = Store::CommitOutcome::Conflict;
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, Store::StoreTime(100s)), "change");
    wait(600ms);
    EXPECT_LE(m_records.values.size(), 4U);
}

// One row with a very large version, mended a moment later, made all that engines serve too old until the routers started anew.
TEST_F(WeightsAnnouncementsTest, versionWrittenInErrorOutlivesTheRowThatMendsIt)
{
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 3}, row(3, 3, Store::StoreTime(90s)), "change");
    m_announcements->handleAnnouncement({"m", writtenInError}, row(writtenInError, 4, Store::StoreTime(99s)), "change");
    EXPECT_EQ(m_relay->fleet().weightsGoals().at("m").version, writtenInError);
    m_announcements->handleAnnouncement({"m", 4}, row(4, 5, Store::StoreTime(100s)), "change");
    EXPECT_EQ(m_relay->fleet().weightsGoals().at("m").version, 4U);
    EXPECT_GT(callBackTime(3), m_loop->now() + 5s);
    EXPECT_LT(callBackTime(2), m_loop->now());
    wait(50ms);
    ASSERT_FALSE(m_records.values.empty());
    EXPECT_TRUE(Decisions::WeightsRecord::decode(m_records.values.back()));
}

TEST_F(WeightsAnnouncementsTest, takesNoOlderRowForAMendedOne)
{
    m_announcements->handleAnnouncement({"m", 4}, row(4, 5, std::nullopt), "change");
    m_announcements->handleAnnouncement({"m", 3}, row(3, 4, std::nullopt), "table");
    m_announcements->handleAnnouncement({"m", writtenInError}, row(writtenInError, 4, std::nullopt), "table");
    EXPECT_EQ(m_relay->fleet().weightsGoals().at("m").version, 4U);
}

// The record keeps the time of a version that was withdrawn.
TEST_F(WeightsAnnouncementsTest, routerThatStartsBelievesAWithdrawnVersionInTheRecord)
{
    m_records.record = Store::TableRow{"m", "2 3 90000\n3 " + std::to_string(writtenInError) + " 95000\n", 9, false, {}};
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 3}, row(3, 7, std::nullopt), "table");
    wait(50ms);
    EXPECT_EQ(m_relay->fleet().weightsGoals().at("m").version, 3U);
    EXPECT_EQ(callBackTime(3), std::nullopt);
}

// A version that is named again after one in error is as old as it was.
TEST_F(WeightsAnnouncementsTest, olderWeightsAreUsedForLongerAfterAVersionInError)
{
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 3}, row(3, 3, Store::StoreTime(90s)), "change");
    m_announcements->handleAnnouncement({"m", writtenInError}, row(writtenInError, 4, Store::StoreTime(99s)), "change");
    m_announcements->handleAnnouncement({"m", 3}, row(3, 5, Store::StoreTime(100s)), "change");
    EXPECT_LT(callBackTime(2), m_loop->now());
    EXPECT_EQ(callBackTime(3), std::nullopt);
}

// A time in the future of the store's clock is wrong: the row was corrupted, or the store's clock was reset. If it were used, old weights would be allowed
// until that time.
TEST_F(WeightsAnnouncementsTest, ignoresATimeInTheFuture)
{
    m_records.record = Store::TableRow{"m", "3 4 900000\n", 9, false, {}};
    m_announcements->addClockReading({Store::StoreTime(100s), Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 4}, row(4, 4, std::nullopt), "table");
    wait(100ms);
    EXPECT_GT(m_records.reads, 0);
    EXPECT_LE(m_relay->fleet().weightsGoals().at("m").announcedAt, m_loop->now());
}

// The requester missed two changes of a row. The peer has only the current row, with the commit time of the last change.
TEST_F(WeightsAnnouncementsTest, usesTheTimeOfTheFirstOfTwoAnnouncementsFromAPeer)
{
    RefusingStore refusing;
    const std::string network = "127.79." + std::to_string(1 + getpid() % 250) + '.';
    constexpr std::uint16_t port = 7340;
    const auto peer = std::move(PeerRowSource::create(*m_loop, network + "1", port, refusing, 1).value());
    const auto own = std::move(PeerRowSource::create(*m_loop, network + "2", port, refusing, 2).value());
    own->peerTable().add(network + "1", m_loop->now());
    const Store::StoreTime firstAnnounced(100s);
    peer->mirror().replace("op", {{row(3, 3, std::nullopt)}, 3, false});
    peer->mirror().applyChanges("op", {{row(4, 4, firstAnnounced)}, 4, false});
    peer->mirror().applyChanges("op", {{row(5, 5, firstAnnounced + 3s)}, 5, false});
    m_announcements->addClockReading({firstAnnounced + 3500ms, Core::BootClock::now()});
    m_announcements->handleAnnouncement({"m", 3}, row(3, 3, std::nullopt), "table");

    std::optional<Core::Result<Store::RowPage>> page;
    own->awaitChanges("op", 3, m_loop->now(), m_loop->now() + 1s, [&page](Core::Result<Store::RowPage> answer) { page = std::move(answer); });
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [&page] { return page.has_value(); }));
    ASSERT_TRUE(*page);
    for (const Store::TableRow &changed : page->value().rows) {
        m_announcements->handleAnnouncement({"m", std::stoull(changed.value)}, changed, "change");
    }
    wait(600ms);
    for (const std::string &value : m_records.values) {
        const auto record = Decisions::WeightsRecord::decode(value);
        ASSERT_TRUE(record);
        for (const Decisions::DatedWeights &dated : record.value().entries()) {
            if (dated.after < 4 && dated.version >= 4) {
                EXPECT_LE(dated.notBefore, firstAnnounced) << value;
            }
        }
    }
    EXPECT_FALSE(m_records.values.empty());
}

} // namespace

} // namespace Verbena::Relay
