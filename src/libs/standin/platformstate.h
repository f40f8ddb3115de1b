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

/// \brief How a platform in an outage behaves.
enum class Outage {
    None,
    Refusing, ///< Answers at once that it is out of service.
    Silent, ///< Takes requests and never answers; nothing takes effect.
};

/// \brief Faults of the platform that a test switches on.
struct PlatformFaults
{
    std::uint32_t writesPerSecond = 0; ///< Commits and puts; 0 means no limit.
    std::uint32_t readsPerSecond = 0; ///< Gets, scans and host lists; 0 means no limit.
    Outage outage = Outage::None;
    std::chrono::milliseconds slowness{0}; ///< Each answer comes this much later.
    std::uint32_t lostAnswers = 0; ///< So many of the next writes take effect and are not answered.
    std::uint32_t lostRequests = 0; ///< So many of the next writes are not answered and take no effect.
    std::uint32_t delayedWrites = 0; ///< So many of the next writes are not answered and take effect after writeDelay.
    std::chrono::milliseconds writeDelay{5'000};
    std::chrono::milliseconds hostListLag{0}; ///< A change of the host list shows this much later.
};

/// \brief What becomes of one operation.
enum class Admission {
    Serve,
    ServeWithoutAnswer,
    ServeLateWithoutAnswer,
    DropWithoutAnswer,
    OverBudget,
    Refused,
};

/// \brief How often the platform was used.
struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t overBudget = 0;
};

/// \brief The platform's table, objects and hosts in memory, with its faults. Does no I/O.
class PlatformState
{
public:
    void setFaults(const PlatformFaults &faults);
    const PlatformFaults &faults() const;
    const PlatformCounts &counts() const;

    /// \brief Counts an operation against the budget and the faults, and says what becomes of it.
    Admission admitRead(Core::TimePoint now);
    Admission admitWrite(Core::TimePoint now);

    std::vector<Store::TableRow> rows(const std::vector<std::string> &keys) const;
    std::vector<Store::TableRow> scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit) const;
    Store::CommitAnswer commit(const std::vector<Store::RowWrite> &writes);

    std::optional<std::string> object(const std::string &name) const;
    void setObject(const std::string &name, std::string content);

    /// \brief Sets the hosts; the list shows them after the lag.
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
