#include <support/settingssimulation.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;
using Verbena::Test::SettingsSimulation;
using Verbena::Test::SettingsSimulationOptions;

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

SettingsSimulationOptions smallPages(std::uint64_t seed)
{
    SettingsSimulationOptions options;
    options.processes = processes;
    options.seed = seed;
    options.lossProbability = 0.05;
    options.replica.pageBytes = 40;
    options.replica.pageRows = 3;
    options.replica.recovery.tableSpread = 1000ms;
    options.replica.recovery.newTableSpread = 1000ms;
    return options;
}

void commitRandomly(SettingsSimulation &simulation, int rows)
{
    std::map<std::string, std::optional<std::string>> writes;
    for (int i = 0; i < rows; ++i) {
        const std::string path = "p" + std::to_string(*rc::gen::inRange(0, 9));
        const bool isDeleted = *rc::gen::inRange(0, 4) == 0;
        writes[path] = isDeleted ? std::nullopt : std::optional<std::string>("v" + std::to_string(simulation.tableRevision()));
    }
    simulation.commit(writes);
}

void injectRandomly(SettingsSimulation &simulation)
{
    const auto process = *rc::gen::inRange<std::size_t>(0, processes);
    const auto fault = static_cast<Fault>(*rc::gen::inRange(0, 12));
    switch (fault) {
    case Fault::Commit:
        commitRandomly(simulation, 2);
        break;
    case Fault::BigCommit:
        commitRandomly(simulation, 7);
        break;
    case Fault::Run:
        simulation.run(std::chrono::milliseconds(*rc::gen::inRange(1, 4000)));
        break;
    case Fault::Crash:
        simulation.crash(process);
        break;
    case Fault::Restart:
        simulation.restart(process);
        break;
    case Fault::Partition:
        simulation.setGroup(process, *rc::gen::inRange<std::size_t>(0, 3));
        break;
    case Fault::Heal:
        for (std::size_t i = 0; i < processes; ++i) {
            simulation.setGroup(i, 0);
        }
        break;
    case Fault::TableDown:
        simulation.setTableDown(true);
        break;
    case Fault::TableUp:
        simulation.setTableDown(false);
        simulation.setTableAnswersLost(false);
        break;
    case Fault::AnswersLost:
        simulation.setTableAnswersLost(true);
        break;
    case Fault::SaveSnapshot:
        simulation.saveSnapshot(process);
        break;
    case Fault::SnapshotDown:
        simulation.setSnapshotDown(*rc::gen::arbitrary<bool>());
        break;
    }
}

void repairEverything(SettingsSimulation &simulation)
{
    simulation.setTableDown(false);
    simulation.setTableAnswersLost(false);
    simulation.setSnapshotDown(false);
    for (std::size_t i = 0; i < processes; ++i) {
        simulation.setGroup(i, 0);
        if (!simulation.isRunning(i)) {
            simulation.restart(i);
        }
    }
}

TEST(SettingsReplicaTest, revisionNeverDecreasesAndConvergesUnderRandomFaults)
{
    EXPECT_TRUE(rc::check("random interleavings of commits, gossip, crashes, restarts, partitions and outages", [] {
        SettingsSimulation simulation(smallPages(*rc::gen::arbitrary<std::uint64_t>()));
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            injectRandomly(simulation);
            RC_ASSERT(simulation.violation() == "");
        }
        repairEverything(simulation);
        simulation.run(30s);
        RC_ASSERT(simulation.violation() == "");
        RC_ASSERT(simulation.isConverged());
    }));
}

TEST(SettingsReplicaTest, announcementDuringAPullIsPulledNext)
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

TEST(SettingsReplicaTest, restartedProcessRecoversFromPeersWhileTheStoreIsUnavailable)
{
    SettingsSimulationOptions options;
    SettingsSimulation simulation(options);
    simulation.commit({{"settings/models/a", "1"}});
    simulation.run(10s);
    ASSERT_TRUE(simulation.isConverged());
    simulation.setTableDown(true);
    simulation.setSnapshotDown(true);
    simulation.run(300s);
    simulation.restart(3);
    simulation.run(100ms);
    EXPECT_TRUE(simulation.replica(3).isRecovered());
    EXPECT_EQ(simulation.replica(3).store().revision(), 1U);
    EXPECT_EQ(simulation.violation(), "");
}

TEST(SettingsReplicaTest, processWithoutPeersRecoversFromTheSnapshot)
{
    SettingsSimulation simulation(SettingsSimulationOptions{});
    simulation.commit({{"settings/models/a", "1"}});
    simulation.run(10s);
    simulation.saveSnapshot(0);
    simulation.setTableDown(true);
    for (std::size_t i = 0; i < 8; ++i) {
        simulation.crash(i);
    }
    simulation.restart(2);
    simulation.run(3s);
    EXPECT_EQ(simulation.replica(2).store().revision(), 1U);
}

TEST(SettingsReplicaTest, partitionedProcessesKeepTheirSettingsAndCatchUpAfterwards)
{
    SettingsSimulation simulation(SettingsSimulationOptions{});
    simulation.commit({{"settings/organisations/o/teams/t", "1"}});
    simulation.run(10s);
    for (std::size_t i = 4; i < 8; ++i) {
        simulation.setGroup(i, 1);
    }
    simulation.commit({{"settings/organisations/o/teams/t", std::nullopt}});
    simulation.run(60s);
    EXPECT_EQ(simulation.replica(0).store().revision(), 2U);
    EXPECT_EQ(simulation.replica(5).store().revision(), 1U);
    EXPECT_GT(simulation.now() - simulation.replica(5).verifiedAt().value(), 50s);
    for (std::size_t i = 4; i < 8; ++i) {
        simulation.setGroup(i, 0);
    }
    simulation.run(10s);
    EXPECT_TRUE(simulation.isConverged());
    EXPECT_LT(simulation.now() - simulation.replica(5).verifiedAt().value(), 10s);
    EXPECT_EQ(simulation.violation(), "");
}

TEST(SettingsReplicaTest, deletedTeamStaysDeletedWhenAPeerWithOldSettingsJoins)
{
    SettingsSimulation simulation(SettingsSimulationOptions{});
    const std::string team = "settings/organisations/o/teams/t";
    simulation.commit({{team, "1"}});
    simulation.run(10s);
    simulation.saveSnapshot(0);
    simulation.setGroup(7, 1);
    simulation.commit({{team, std::nullopt}});
    simulation.run(10s);
    // The table is unavailable when the peer rejoins and another process starts from an old snapshot.
    simulation.setTableDown(true);
    simulation.setGroup(7, 0);
    simulation.restart(6);
    simulation.run(20s);
    for (std::size_t i = 0; i < 8; ++i) {
        EXPECT_TRUE(simulation.replica(i).store().row(team)->isDeleted) << i;
    }
    EXPECT_EQ(simulation.violation(), "");
}

TEST(SettingsReplicaTest, manyRestartsDoNotLoadThePlatformWhilePeersAnswer)
{
    SettingsSimulationOptions options;
    options.processes = 400;
    options.peersEach = 10;
    SettingsSimulation simulation(options);
    simulation.commit({{"settings/models/a", "1"}});
    simulation.run(20s);
    ASSERT_TRUE(simulation.isConverged());
    const std::uint64_t snapshotReads = simulation.snapshotReads;
    const std::uint64_t tableReads = simulation.tableReads;
    for (std::size_t i = 0; i < 200; ++i) {
        simulation.restart(i);
    }
    simulation.run(1s);
    EXPECT_TRUE(simulation.isConverged());
    EXPECT_LE(simulation.snapshotReads - snapshotReads, 4U);
    EXPECT_LE(simulation.tableReads - tableReads, 40U);
}

} // namespace

} // namespace Verbena::Decisions
