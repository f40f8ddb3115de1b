#pragma once

#include <decisions/spread/settingsreplica.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace Verbena::Test {

/// \brief How the processes of a VirtualSpread are tied together.
struct VirtualSpreadOptions
{
    std::size_t processes = 8;
    std::size_t peersEach = 0; ///< Neighbours that each process draws, known both ways; 0: all know all.
    Decisions::SettingsReplicaOptions replica;
    std::chrono::microseconds minimumDelay{500}; ///< Of a message, one way.
    std::chrono::microseconds maximumDelay{3'000};
    double lossProbability = 0; ///< Of a message.
    std::uint64_t seed = 1;
    bool isHistoryKept = true; ///< Needed for checks; costs memory by the size of the tree times the number of commits.
};

/// \brief Many replicas of the settings tree on a table service, in virtual time and with faults.
///
/// Each publication is checked: the revision must rise, and what is in force must be the table's state at that revision.
class VirtualSpread
{
public:
    explicit VirtualSpread(const VirtualSpreadOptions &options);
    ~VirtualSpread();

    /// \brief Writes rows in one commit; nothing as content deletes. Returns the revision.
    std::uint64_t commit(const std::map<std::string, std::optional<std::string>> &writes);

    void run(std::chrono::microseconds span);
    void crash(std::size_t process);
    void restart(std::size_t process);

    /// \brief Messages pass only between processes of one group; the table is reached from group 0 only.
    void setGroup(std::size_t process, std::size_t group);
    void setTableDown(bool isDown);
    void setSnapshotDown(bool isDown);

    /// \brief Lets the table take effect of calls while their answers are lost.
    void setTableAnswersLost(bool isLost);

    /// \brief Writes the snapshot as \a process holds the tree now.
    void saveSnapshot(std::size_t process);

    bool isRunning(std::size_t process) const;
    const Decisions::SettingsReplica &replica(std::size_t process) const;
    std::uint64_t tableRevision() const;
    Core::TimePoint now() const;

    /// \brief What went wrong first; empty if nothing did.
    const std::string &violation() const;

    /// \brief True if every running process holds what the table does.
    bool isConverged() const;

    /// \brief When \a process put \a revision or a later one in force first; nothing if it has not.
    std::optional<Core::TimePoint> inForceAt(std::size_t process, std::uint64_t revision) const;

    std::uint64_t messages = 0;
    std::uint64_t messageBytes = 0; ///< Of contents, without the transport's own.
    std::uint64_t tableReads = 0;
    std::uint64_t snapshotReads = 0;

private:
    struct Process;
    struct Event
    {
        Core::TimePoint moment;
        std::uint64_t order;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return moment != other.moment ? moment > other.moment : order > other.order;
        }
    };
    using RowMap = std::map<std::string, Decisions::SettingsRow>;

    void schedule(std::chrono::microseconds delay, std::function<void()> run);
    void start(std::size_t index);
    void wakeLater(std::size_t index);
    void perform(std::size_t index, Decisions::SettingsReplica::Actions actions);
    void perform(std::size_t index, Decisions::SendDigest &action);
    void perform(std::size_t index, Decisions::SendPull &action);
    void perform(std::size_t index, Decisions::SendPush &action);
    void perform(std::size_t index, Decisions::ScanTable &action);
    void perform(std::size_t index, Decisions::ReadSnapshot &action);
    void perform(std::size_t index, Decisions::PublishSettings &action);
    void perform(std::size_t index, Decisions::ReportDivergence &action);
    void deliver(std::size_t from, const std::string &to, std::size_t bytes, std::function<void(std::size_t)> receive);
    void later(std::size_t index, std::chrono::microseconds delay, std::function<void(Process &)> run);
    std::chrono::microseconds drawDelay();
    std::vector<Decisions::SettingsRow> scan(const Decisions::ScanTable &action) const;

    VirtualSpreadOptions m_options;
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
