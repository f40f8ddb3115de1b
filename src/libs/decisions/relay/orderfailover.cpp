#include "orderfailover.h"

#include <algorithm>

namespace Verbena::Decisions {

OrderFailover::OrderFailover(
    const OrderFailoverOptions &options, const OrderLeaseOptions &lease, const RolloutOptions &rollout, std::string host, std::uint64_t seed)
    : m_options(options)
    , m_leaseOptions(lease)
    , m_rolloutOptions(rollout)
    , m_host(std::move(host))
    , m_random(seed)
{
}

OrderFailover::Entry &OrderFailover::entryFor(const OrphanedEngine &engine)
{
    const auto found = m_entries.find(engine.address);
    if (found != m_entries.end()) {
        return found->second;
    }
    Entry &entry = m_entries.try_emplace(engine.address, OrderLease(m_leaseOptions, {m_host, false, ""})).first->second;
    entry.engine.version = 0;
    return entry;
}

void OrderFailover::updateEngines(std::vector<OrphanedEngine> engines, const std::map<std::string, WeightsGoal> &goals)
{
    // All new engines share one delay, so that one commit acquires their rows.
    const auto wait = std::chrono::duration_cast<Core::Clock::duration>(m_options.startJitter * m_random.uniform());
    std::map<std::string, std::map<std::string, RolloutSlot>> slots;
    std::set<std::string> orphanedAddresses;
    for (OrphanedEngine &engine : engines) {
        const WeightsGoal &goal = goals.at(engine.model);
        Entry &entry = entryFor(engine);
        const bool isNewGoal = entry.engine.version != engine.version;
        const bool wasOrphaned = m_orphanedAddresses.contains(engine.address);
        if (isNewGoal || !wasOrphaned) {
            // An engine that waits for its rollout slot keeps it, as it does with an agent.
            const Core::TimePoint planned = wasOrphaned ? entry.loadAt : Core::TimePoint::max();
            if (!slots.contains(engine.model)) {
                slots[engine.model] = rolloutSlots(goal.holders, goal.version);
            }
            entry.loadAt = weightsLoadTime(slots[engine.model][engine.id], m_rolloutOptions, {goal.announcedAt, engine.lastReportAt}, planned);
            entry.acquireAfter = std::max(goal.announcedAt, engine.lastReportAt) + wait;
            entry.overdueAt = std::max(entry.loadAt, engine.lastReportAt) + m_options.orderTimeout + wait;
        }
        orphanedAddresses.insert(engine.address);
        entry.engine = std::move(engine);
    }
    m_orphanedAddresses = std::move(orphanedAddresses);
}

// Another router gets the time that a load takes. A silent agent is not expected to give orders, unless it wrote the row after this router had read it. In
// that case the router and the agent only fail to reach each other, and would otherwise acquire the row from each other forever.
Core::TimePoint OrderFailover::acquisitionTime(const Entry &entry) const
{
    const auto &holder = entry.lease.holder();
    const bool isOtherRouter = holder.has_value() && !holder->isAgent;
    return std::max(entry.gracePeriodEnd, isOtherRouter ? entry.overdueAt : entry.acquireAfter);
}

FailoverSteps OrderFailover::nextSteps(Core::TimePoint now, Core::BootTime boot) const
{
    FailoverSteps steps;
    for (const std::string &address : m_orphanedAddresses) {
        const Entry &entry = m_entries.at(address);
        if (!entry.lease.isHeld()) {
            if (now < acquisitionTime(entry)) {
                continue;
            }
            if (!entry.isRowCurrent) {
                steps.isReadNeeded = true;
            } else if (now >= entry.reachableUntil) {
                if (now >= entry.nextProbeAt) {
                    steps.probes.push_back(entry.engine);
                }
            } else if (steps.acquisitions.size() < m_options.maximumRowsPerCommit) {
                steps.acquisitions.push_back(entry.lease.acquisitionWrite(address));
            }
            continue;
        }
        addHolderSteps(address, entry, now, boot, steps);
    }
    return steps;
}

// Handovers of rows that were acquired together are completed together and before the rollout slots of their engines, so that one commit covers up to 64
// rows.
void OrderFailover::addHolderSteps(const std::string &address, const Entry &entry, Core::TimePoint now, Core::BootTime boot, FailoverSteps &steps) const
{
    if (!entry.isRowCurrent) {
        steps.isReadNeeded = true;
        return;
    }
    if (entry.lease.mayCompleteHandover(boot)) {
        if (steps.handoverCompletions.size() < m_options.maximumRowsPerCommit) {
            steps.handoverCompletions.push_back(entry.lease.completionWrite(address));
        }
        return;
    }
    if (now < entry.loadAt || now < entry.nextProbeAt) {
        return;
    }
    if (!entry.lease.isHandoverComplete()) {
        steps.enginesInHandover.push_back(entry.engine);
    } else if (entry.lease.isStale(boot)) {
        steps.isReadNeeded = true;
    } else {
        steps.enginesToOrder.push_back(entry.engine);
    }
}

void OrderFailover::handleRows(const std::vector<Store::TableRow> &rows, Core::BootTime askedAt, Core::BootTime boot, Core::TimePoint now)
{
    std::map<std::string, Store::TableRow> byAddress;
    for (const Store::TableRow &row : rows) {
        byAddress[row.key] = row;
    }
    for (auto &[address, entry] : m_entries) {
        const auto row = byAddress.find(address);
        const std::uint64_t before = entry.lease.fencingNumber();
        entry.lease.handleRow(row == byAddress.end() ? std::nullopt : std::optional(row->second), askedAt, boot);
        entry.isRowCurrent = true;
        if (before > 0 && entry.lease.fencingNumber() != before && !entry.lease.isHeld()) {
            entry.gracePeriodEnd = gracePeriodEnd(entry.lease, now);
        }
    }
}

// A holder that has completed the handover has already waited. Adding the handover wait again would leave a holder that is lost right afterwards unreplaced
// for 4.3 s longer.
Core::TimePoint OrderFailover::gracePeriodEnd(const OrderLease &lease, Core::TimePoint now) const
{
    const bool hasWaited = lease.holder().has_value() && lease.holder()->previousHost.empty();
    return now + m_options.orderTimeout + (hasWaited ? std::chrono::milliseconds(0) : m_leaseOptions.handoverWait());
}

void OrderFailover::handleCommit(const std::vector<Store::RowWrite> &writes, const Store::CommitAnswer &answer, Core::BootTime askedAt, Core::BootTime now)
{
    if (answer.outcome == Store::CommitOutcome::NotSent) {
        return;
    }
    for (const Store::RowWrite &write : writes) {
        Entry &entry = m_entries.at(write.key);
        if (answer.outcome == Store::CommitOutcome::Committed) {
            entry.lease.handleCommitted(write, answer.revision, askedAt, now);
        } else {
            // Another process was faster, or the outcome is unknown: the row has to be read again.
            entry.isRowCurrent = false;
        }
    }
}

void OrderFailover::markReachable(const std::string &address, Core::TimePoint now)
{
    const auto entry = m_entries.find(address);
    if (entry != m_entries.end()) {
        entry->second.reachableUntil = now + m_options.probeValidity;
        entry->second.nextProbeAt = now;
    }
}

void OrderFailover::postponeProbe(const std::string &address, Core::TimePoint time)
{
    const auto entry = m_entries.find(address);
    if (entry != m_entries.end()) {
        entry->second.nextProbeAt = time;
    }
}

OrderLease *OrderFailover::lease(const std::string &address)
{
    const auto entry = m_entries.find(address);
    return entry == m_entries.end() ? nullptr : &entry->second.lease;
}

} // namespace Verbena::Decisions
