#pragma once

#include <decisions/spread/settingsreplica.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace Verbena::Test {

/// \brief Options of a SettingsSimulation.
struct SettingsSimulationOptions
{
    std::size_t processes = 8;
    std::size_t peersEach = 0; ///< Number of random neighbours of each process, connected in both directions; 0 connects all processes.
    Decisions::SettingsReplicaOptions replica;
    std::chrono::microseconds minimumDelay{500}; ///< Minimum one-way delay of a message.
    std::chrono::microseconds maximumDelay{3'000};
    double lossProbability = 0; ///< Probability that a message is lost.
    std::uint64_t seed = 1;
    bool isHistoryKept = true; ///< Whether all states of the table are kept for checks; the memory is the size of the tree times the number of commits.
};

/// \brief Simulates many replicas of the settings tree and a table service, in virtual time and with faults.
///
/// Checks each publication: the revision must increase, and the settings in force must be the state of the table at that revision.
class SettingsSimulation
{
public:
    explicit SettingsSimulation(const SettingsSimulationOptions &options);
    ~SettingsSimulation();

    /// \brief Writes rows in one commit and returns its revision; a row without content is deleted.
    std::uint64_t commit(const std::map<std::string, std::optional<std::string>> &writes);

    /// \brief Runs the simulation for \a duration of virtual time.
    void run(std::chrono::microseconds duration);

    void crash(std::size_t process);
    void restart(std::size_t process);

    /// \brief Moves \a process to \a group. Messages pass only within a group, and only group 0 reaches the table and the snapshot.
    void setGroup(std::size_t process, std::size_t group);

    void setTableDown(bool isDown);
    void setSnapshotDown(bool isDown);

    /// \brief Sets whether answers of the table are lost after it has executed the calls.
    void setTableAnswersLost(bool isLost);

    /// \brief Writes the tree that \a process currently holds as the snapshot.
    void saveSnapshot(std::size_t process);

    bool isRunning(std::size_t process) const;
    const Decisions::SettingsReplica &replica(std::size_t process) const;
    std::uint64_t tableRevision() const;
    Core::TimePoint now() const;

    /// \brief Returns the last violated check; empty if there was none.
    const std::string &violation() const;

    /// \brief Returns whether every running process holds the state of the table.
    bool isConverged() const;

    /// \brief Returns when \a process first published \a revision or a later one, or nothing if it has not.
    std::optional<Core::TimePoint> inForceAt(std::size_t process, std::uint64_t revision) const;

    std::uint64_t messages = 0;
    std::uint64_t messageBytes = 0; ///< Size of the contents of messages, without the overhead of the transport.
    std::uint64_t tableReads = 0;
    std::uint64_t snapshotReads = 0;

private:
    struct Process;
    struct Event
    {
        Core::TimePoint time;
        std::uint64_t order;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    using RowMap = std::map<std::string, Decisions::SettingsRow>;

    void schedule(std::chrono::microseconds delay, std::function<void()> run);
    void start(std::size_t index);
    void scheduleAdvance(std::size_t index);
    void perform(std::size_t index, Decisions::SettingsReplica::Actions actions);
    void perform(std::size_t index, Decisions::SendDigest &action);
    void perform(std::size_t index, Decisions::SendPull &action);
    void perform(std::size_t index, Decisions::SendPush &action);
    void perform(std::size_t index, Decisions::ScanTable &action);
    void perform(std::size_t index, Decisions::ReadSnapshot &action);
    void perform(std::size_t index, Decisions::PublishSettings &action);
    void perform(std::size_t index, Decisions::ReportDivergence &action);
    void deliver(std::size_t from, const std::string &to, std::size_t bytes, std::function<void(std::size_t)> receive);
    void callLater(std::size_t index, std::chrono::microseconds delay, std::function<void(Process &)> run);
    std::chrono::microseconds randomDelay();
    std::vector<Decisions::SettingsRow> scan(const Decisions::ScanTable &action) const;

    SettingsSimulationOptions m_options;
    Decisions::RandomSource m_random;
    Core::TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Process>> m_processes;
    RowMap m_table;
    std::map<std::uint64_t, RowMap> m_history;
    std::map<std::uint64_t, std::vector<std::string>> m_commits;
    std::uint64_t m_revision = 0;
    std::optional<Decisions::SettingsDelta> m_snapshot;
    bool m_isTableDown = false;
    bool m_isSnapshotDown = false;
    bool m_areTableAnswersLost = false;
    std::string m_violation;
};

} // namespace Verbena::Test
