#include "platformstate.h"

#include <algorithm>

namespace Verbena::Standin {

void PlatformState::setFaults(const PlatformFaults &faults)
{
    m_faults = faults;
}

const PlatformFaults &PlatformState::faults() const
{
    return m_faults;
}

const PlatformCounts &PlatformState::counts() const
{
    return m_counts;
}

Admission PlatformState::admitRead(Core::TimePoint now)
{
    ++m_counts.reads;
    return admit(m_reads, m_faults.readsPerSecond, now);
}

Admission PlatformState::admitWrite(Core::TimePoint now)
{
    ++m_counts.writes;
    const Admission admission = admit(m_writes, m_faults.writesPerSecond, now);
    if (admission != Admission::Serve) {
        return admission;
    }
    if (m_faults.lostAnswers > 0) {
        --m_faults.lostAnswers;
        return Admission::ServeWithoutAnswer;
    }
    if (m_faults.lostRequests > 0) {
        --m_faults.lostRequests;
        return Admission::DropWithoutAnswer;
    }
    if (m_faults.delayedWrites > 0) {
        --m_faults.delayedWrites;
        return Admission::ServeLateWithoutAnswer;
    }
    return Admission::Serve;
}

Admission PlatformState::admit(Window &window, std::uint32_t limit, Core::TimePoint now)
{
    if (m_faults.outage == Outage::Refusing) {
        return Admission::Refused;
    }
    if (m_faults.outage == Outage::Silent) {
        return Admission::DropWithoutAnswer;
    }
    while (!window.admitted.empty() && window.admitted.front() + std::chrono::seconds(1) <= now) {
        window.admitted.pop_front();
    }
    if (limit > 0 && window.admitted.size() >= limit) {
        ++m_counts.overBudget;
        return Admission::OverBudget;
    }
    window.admitted.push_back(now);
    return Admission::Serve;
}

std::vector<Store::TableRow> PlatformState::rows(const std::vector<std::string> &keys) const
{
    std::vector<Store::TableRow> found;
    for (const std::string &key : keys) {
        const auto row = m_rows.find(key);
        if (row != m_rows.end()) {
            found.push_back(row->second);
        }
    }
    return found;
}

std::vector<Store::TableRow> PlatformState::scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit) const
{
    std::vector<Store::TableRow> found;
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
        if (row->second.revision > sinceRevision) {
            found.push_back(row->second);
        }
    }
    std::sort(found.begin(), found.end(), [](const auto &left, const auto &right) { return left.revision < right.revision; });
    if (found.size() <= limit) {
        return found;
    }
    // Rows of one commit share a revision. A page that ended between them would hide the remaining rows from the next scan, which starts after that revision.
    std::size_t end = limit;
    while (end > 0 && end < found.size() && found[end].revision == found[end - 1].revision) {
        ++end;
    }
    found.resize(end);
    return found;
}

Store::CommitAnswer PlatformState::commit(const std::vector<Store::RowWrite> &writes)
{
    Store::CommitAnswer answer;
    bool isConflict = false;
    for (const Store::RowWrite &write : writes) {
        if (write.expectedRevision && *write.expectedRevision != revisionOf(write.key)) {
            isConflict = true;
            const auto row = m_rows.find(write.key);
            answer.current.push_back(row == m_rows.end() ? Store::TableRow{write.key, {}, 0, true} : row->second);
        }
    }
    if (isConflict) {
        answer.outcome = Store::CommitOutcome::Conflict;
        return answer;
    }
    ++m_revision;
    for (const Store::RowWrite &write : writes) {
        m_rows[write.key] = {write.key, write.value.value_or(std::string()), m_revision, !write.value.has_value()};
    }
    answer.outcome = Store::CommitOutcome::Committed;
    answer.revision = m_revision;
    return answer;
}

std::uint64_t PlatformState::revisionOf(const std::string &key) const
{
    const auto row = m_rows.find(key);
    return row == m_rows.end() ? 0 : row->second.revision;
}

std::optional<std::string> PlatformState::object(const std::string &name) const
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

void PlatformState::setObject(const std::string &name, std::string content)
{
    m_objects[name] = std::move(content);
}

void PlatformState::setHosts(std::vector<Store::HostEntry> hosts, Core::TimePoint now)
{
    // Keeps the currently visible list and the changes that are not visible yet.
    while (m_hostChanges.size() > 1 && m_hostChanges[1].visibleAt <= now) {
        m_hostChanges.erase(m_hostChanges.begin());
    }
    m_hostChanges.push_back({now + m_faults.hostListLag, std::move(hosts)});
}

std::vector<Store::HostEntry> PlatformState::hosts(Core::TimePoint now) const
{
    const auto change = std::find_if(m_hostChanges.rbegin(), m_hostChanges.rend(), [now](const HostChange &each) { return each.visibleAt <= now; });
    return change == m_hostChanges.rend() ? std::vector<Store::HostEntry>() : change->hosts;
}

} // namespace Verbena::Standin
