#include <support/virtualspread.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;
using Verbena::Test::VirtualSpread;
using Verbena::Test::VirtualSpreadOptions;

enum class Fault {
    Commit,
    BigCommit,
    Run,
    Crash,
    Restart,
    Partition,
    Heal,
    TableDown,
    TableUp,
    AnswersLost,
    SaveSnapshot,
    SnapshotDown,
};

constexpr std::size_t processes = 6;

VirtualSpreadOptions smallPages(std::uint64_t seed)
{
    VirtualSpreadOptions options;
    options.processes = processes;
    options.seed = seed;
    options.lossProbability = 0.05;
    options.replica.pageBytes = 40;
    options.replica.pageRows = 3;
    options.replica.recovery.tableSpread = 1000ms;
    options.replica.recovery.newTableSpread = 1000ms;
    return options;
}

void commitRandomly(VirtualSpread &spread, int rows)
{
    std::map<std::string, std::optional<std::string>> writes;
    for (int i = 0; i < rows; ++i) {
        const std::string path = "p" + std::to_string(*rc::gen::inRange(0, 9));
        const bool isDeleted = *rc::gen::inRange(0, 4) == 0;
        writes[path] = isDeleted ? std::nullopt : std::optional<std::string>("v" + std::to_string(spread.tableRevision()));
    }
    spread.commit(writes);
}

void injectRandomly(VirtualSpread &spread)
{
    const auto process = *rc::gen::inRange<std::size_t>(0, processes);
    const auto fault = static_cast<Fault>(*rc::gen::inRange(0, 12));
    switch (fault) {
    case Fault::Commit:
        commitRandomly(spread, 2);
        break;
    case Fault::BigCommit:
        commitRandomly(spread, 7);
        break;
    case Fault::Run:
        spread.run(std::chrono::milliseconds(*rc::gen::inRange(1, 4000)));
        break;
    case Fault::Crash:
        spread.crash(process);
        break;
    case Fault::Restart:
        spread.restart(process);
        break;
    case Fault::Partition:
        spread.setGroup(process, *rc::gen::inRange<std::size_t>(0, 3));
        break;
    case Fault::Heal:
        for (std::size_t i = 0; i < processes; ++i) {
            spread.setGroup(i, 0);
        }
        break;
    case Fault::TableDown:
        spread.setTableDown(true);
        break;
    case Fault::TableUp:
        spread.setTableDown(false);
        spread.setTableAnswersLost(false);
        break;
    case Fault::AnswersLost:
        spread.setTableAnswersLost(true);
        break;
    case Fault::SaveSnapshot:
        spread.saveSnapshot(process);
        break;
    case Fault::SnapshotDown:
        spread.setSnapshotDown(*rc::gen::arbitrary<bool>());
        break;
    }
}

void mendEverything(VirtualSpread &spread)
{
    spread.setTableDown(false);
    spread.setTableAnswersLost(false);
    spread.setSnapshotDown(false);
    for (std::size_t i = 0; i < processes; ++i) {
        spread.setGroup(i, 0);
        if (!spread.isRunning(i)) {
            spread.restart(i);
        }
    }
}

TEST(SettingsReplicaTest, neverGoesBackAndConvergesUnderRandomFaults)
{
    EXPECT_TRUE(rc::check("random interleavings of commits, spread, crashes, restarts, partitions and outages", [] {
        VirtualSpread spread(smallPages(*rc::gen::arbitrary<std::uint64_t>()));
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            injectRandomly(spread);
            RC_ASSERT(spread.violation() == "");
        }
        mendEverything(spread);
        spread.run(30s);
        RC_ASSERT(spread.violation() == "");
        RC_ASSERT(spread.isConverged());
    }));
}

TEST(SettingsReplicaTest, whatIsAnnouncedDuringAPullIsPulledNext)
{
    const Core::TimePoint now(1h);
    SettingsReplica replica(SettingsReplicaOptions{}, 1, now);
    const auto pulls = [](const SettingsReplica::Actions &actions) {
        std::vector<std::string> peers;
        for (const ReplicaAction &action : actions) {
            if (const auto *pull = std::get_if<SendPull>(&action)) {
                peers.push_back(pull->peer + std::to_string(pull->since));
            }
        }
        return peers;
    };
    EXPECT_EQ(pulls(replica.receiveDigest("a", {5, 0, std::nullopt}, now)), std::vector<std::string>{"a0"});
    EXPECT_TRUE(pulls(replica.receiveDigest("b", {7, 0, std::nullopt}, now)).empty());
    EXPECT_EQ(pulls(replica.receivePush("a", {0, 5, 5, {{"p", "v", 5, false}}, false}, {}, now)), std::vector<std::string>{"b5"});
    EXPECT_TRUE(pulls(replica.receivePush("b", {5, 7, 7, {{"p", "w", 7, false}}, false}, {}, now)).empty());
    EXPECT_EQ(replica.store().revision(), 7U);
}

TEST(SettingsReplicaTest, restartServesAtOnceFromPeersWhileTheStoreIsOut)
{
    VirtualSpreadOptions options;
    VirtualSpread spread(options);
    spread.commit({{"settings/models/a", "1"}});
    spread.run(10s);
    ASSERT_TRUE(spread.isConverged());
    spread.setTableDown(true);
    spread.setSnapshotDown(true);
    spread.run(300s);
    spread.restart(3);
    spread.run(100ms);
    EXPECT_TRUE(spread.replica(3).isRecovered());
    EXPECT_EQ(spread.replica(3).store().revision(), 1U);
    EXPECT_EQ(spread.violation(), "");
}

TEST(SettingsReplicaTest, processWithoutPeersStartsFromTheSnapshot)
{
    VirtualSpread spread(VirtualSpreadOptions{});
    spread.commit({{"settings/models/a", "1"}});
    spread.run(10s);
    spread.saveSnapshot(0);
    spread.setTableDown(true);
    for (std::size_t i = 0; i < 8; ++i) {
        spread.crash(i);
    }
    spread.restart(2);
    spread.run(3s);
    EXPECT_EQ(spread.replica(2).store().revision(), 1U);
}

TEST(SettingsReplicaTest, partitionedProcessesKeepTheirSettingsAndCatchUpAfterHealing)
{
    VirtualSpread spread(VirtualSpreadOptions{});
    spread.commit({{"settings/organisations/o/teams/t", "1"}});
    spread.run(10s);
    for (std::size_t i = 4; i < 8; ++i) {
        spread.setGroup(i, 1);
    }
    spread.commit({{"settings/organisations/o/teams/t", std::nullopt}});
    spread.run(60s);
    EXPECT_EQ(spread.replica(0).store().revision(), 2U);
    EXPECT_EQ(spread.replica(5).store().revision(), 1U);
    EXPECT_GT(spread.now() - spread.replica(5).verifiedAt().value(), 50s);
    for (std::size_t i = 4; i < 8; ++i) {
        spread.setGroup(i, 0);
    }
    spread.run(10s);
    EXPECT_TRUE(spread.isConverged());
    EXPECT_LT(spread.now() - spread.replica(5).verifiedAt().value(), 10s);
    EXPECT_EQ(spread.violation(), "");
}

TEST(SettingsReplicaTest, deletedTeamStaysDeletedWhenAPeerWithOldSettingsJoins)
{
    VirtualSpread spread(VirtualSpreadOptions{});
    const std::string team = "settings/organisations/o/teams/t";
    spread.commit({{team, "1"}});
    spread.run(10s);
    spread.saveSnapshot(0);
    spread.setGroup(7, 1);
    spread.commit({{team, std::nullopt}});
    spread.run(10s);
    // The table is out when the peer comes back and another starts from an old snapshot.
    spread.setTableDown(true);
    spread.setGroup(7, 0);
    spread.restart(6);
    spread.run(20s);
    for (std::size_t i = 0; i < 8; ++i) {
        EXPECT_TRUE(spread.replica(i).store().row(team)->isDeleted) << i;
    }
    EXPECT_EQ(spread.violation(), "");
}

TEST(SettingsReplicaTest, herdOfRestartsCostsThePlatformNothingWhilePeersAnswer)
{
    VirtualSpreadOptions options;
    options.processes = 400;
    options.peersEach = 10;
    VirtualSpread spread(options);
    spread.commit({{"settings/models/a", "1"}});
    spread.run(20s);
    ASSERT_TRUE(spread.isConverged());
    const std::uint64_t snapshotReads = spread.snapshotReads;
    const std::uint64_t tableReads = spread.tableReads;
    for (std::size_t i = 0; i < 200; ++i) {
        spread.restart(i);
    }
    spread.run(1s);
    EXPECT_TRUE(spread.isConverged());
    EXPECT_LE(spread.snapshotReads - snapshotReads, 4U);
    EXPECT_LE(spread.tableReads - tableReads, 40U);
}

} // namespace

} // namespace Verbena::Decisions
