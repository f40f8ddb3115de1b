#pragma once

#include <store/hostlist.h>
#include <store/tableservice.h>

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Standin {

/// \brief Behaviour of the platform during an outage.
enum class Outage {
    None,
    Refusing, ///< Answers immediately that it is unavailable.
    Silent, ///< Accepts requests, ignores them and never answers.
};

/// \brief Faults that a test can enable in the platform.
struct PlatformFaults
{
    std::uint32_t writesPerSecond = 0; ///< Maximum rate of commits and puts; 0 means no limit.
    std::uint32_t readsPerSecond = 0; ///< Maximum rate of gets, scans and host lists; 0 means no limit.
    Outage outage = Outage::None;
    std::chrono::milliseconds answerDelay{0}; ///< Additional delay of each answer.
    std::uint32_t lostAnswers = 0; ///< Number of next writes that take effect but are not answered.
    std::uint32_t lostRequests = 0; ///< Number of next writes that neither take effect nor are answered.
    std::uint32_t delayedWrites = 0; ///< Number of next writes that are not answered and take effect after writeDelay.
    std::chrono::milliseconds writeDelay{5'000}; ///< Delay of delayedWrites.
    std::chrono::milliseconds hostListLag{0}; ///< Time after which a change of the host list becomes visible.
};

/// \brief How the platform processes an operation.
enum class Admission {
    Serve,
    ServeWithoutAnswer,
    ServeLateWithoutAnswer,
    DropWithoutAnswer,
    OverBudget,
    Refused,
};

/// \brief Operation counts of the platform.
struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t overBudget = 0;
};

/// \brief In-memory state of the simulated platform: table, objects, hosts and faults. Does no I/O.
class PlatformState
{
public:
    void setFaults(const PlatformFaults &faults);
    const PlatformFaults &faults() const;
    const PlatformCounts &counts() const;

    /// \brief Counts a read against the budget and the faults, and returns how it is processed.
    Admission admitRead(Core::TimePoint now);
    /// \brief Counts a write against the budget and the faults, and returns how it is processed.
    Admission admitWrite(Core::TimePoint now);

    std::vector<Store::TableRow> rows(const std::vector<std::string> &keys) const;
    std::vector<Store::TableRow> scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit) const;
    Store::CommitAnswer commit(const std::vector<Store::RowWrite> &writes);

    std::optional<std::string> object(const std::string &name) const;
    void setObject(const std::string &name, std::string content);

    /// \brief Sets the hosts. hosts() returns them after PlatformFaults::hostListLag.
    void setHosts(std::vector<Store::HostEntry> hosts, Core::TimePoint now);
    std::vector<Store::HostEntry> hosts(Core::TimePoint now) const;

private:
    struct Window
    {
        std::deque<Core::TimePoint> admitted;
    };
    struct HostChange
    {
        Core::TimePoint visibleAt;
        std::vector<Store::HostEntry> hosts;
    };

    Admission admit(Window &window, std::uint32_t limit, Core::TimePoint now);
    std::uint64_t revisionOf(const std::string &key) const;

    PlatformFaults m_faults;
    PlatformCounts m_counts;
    Window m_reads;
    Window m_writes;
    std::uint64_t m_revision = 0;
    std::map<std::string, Store::TableRow> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<HostChange> m_hostChanges;
};

} // namespace Verbena::Standin
