#include "orderfailover.h"

#include <algorithm>

namespace Verbena::Decisions {

OrderFailover::OrderFailover(
    const OrderFailoverOptions &options, const OrderLeaseOptions &lease, const RolloutOptions &pace, std::string host, std::uint64_t seed)
    : m_options(options)
    , m_leaseOptions(lease)
    , m_pace(pace)
    , m_host(std::move(host))
    , m_random(seed)
{
}

OrderFailover::Entry &OrderFailover::entryOf(const OrphanedEngine &engine)
{
    const auto found = m_entries.find(engine.address);
    if (found != m_entries.end()) {
        return found->second;
    }
    Entry &entry = m_entries.try_emplace(engine.address, OrderLease(m_leaseOptions, {m_host, false, ""})).first->second;
    entry.engine.version = 0;
    return entry;
}

void OrderFailover::follow(std::vector<OrphanedEngine> engines, const std::map<std::string, WeightsGoal> &goals)
{
    // One moment for all engines that are new here, so that one commit takes their rows.
    const auto wait = std::chrono::duration_cast<Core::Clock::duration>(m_options.stagger * m_random.uniform());
    std::map<std::string, std::map<std::string, RolloutSlot>> turns;
    std::set<std::string> orphaned;
    for (OrphanedEngine &engine : engines) {
        const WeightsGoal &goal = goals.at(engine.model);
        Entry &entry = entryOf(engine);
        const bool isNewGoal = entry.engine.version != engine.version;
        const bool wasOwed = m_orphaned.contains(engine.address);
        if (isNewGoal || !wasOwed) {
            // An engine that still waits for its turn keeps it, as with an agent.
            const Core::TimePoint planned = wasOwed ? entry.turn : Core::TimePoint::max();
            if (!turns.contains(engine.model)) {
                turns[engine.model] = rolloutSlots(goal.holders, goal.version);
            }
            entry.turn = weightsLoadTime(turns[engine.model][engine.id], m_pace, {goal.namedAt, engine.since}, planned);
            entry.begin = std::max(goal.namedAt, engine.since) + wait;
            entry.overdue = std::max(entry.turn, engine.since) + m_options.overdue + wait;
        }
        orphaned.insert(engine.address);
        entry.engine = std::move(engine);
    }
    m_orphaned = std::move(orphaned);
}

// Another router gets the time that a load takes. Of an agent that is silent nothing is to be expected, unless it wrote the row after this router had seen
// it: then the two only do not hear each other, and would take the row from each other for ever.
Core::TimePoint OrderFailover::takeTime(const Entry &entry) const
{
    const auto &holder = entry.lease.holder();
    const bool isOtherRouter = holder.has_value() && !holder->isAgent;
    return std::max(entry.respite, isOtherRouter ? entry.overdue : entry.begin);
}

FailoverSteps OrderFailover::next(Core::TimePoint now, Core::BootTime boot) const
{
    FailoverSteps steps;
    for (const std::string &address : m_orphaned) {
        const Entry &entry = m_entries.at(address);
        if (!entry.lease.isHeld()) {
            if (now < takeTime(entry)) {
                continue;
            }
            if (!entry.isRowKnown) {
                steps.isReadWanted = true;
            } else if (now >= entry.aliveUntil) {
                if (now >= entry.notBefore) {
                    steps.looks.push_back(entry.engine);
                }
            } else if (steps.takes.size() < m_options.mostTaken) {
                steps.takes.push_back(entry.lease.take(address));
            }
            continue;
        }
        addStepsOfHolder(address, entry, now, boot, steps);
    }
    return steps;
}

// Rows that were taken together are settled together and before their engines' turns, so that one commit does for up to 64.
void OrderFailover::addStepsOfHolder(const std::string &address, const Entry &entry, Core::TimePoint now, Core::BootTime boot, FailoverSteps &steps) const
{
    if (!entry.isRowKnown) {
        steps.isReadWanted = true;
        return;
    }
    if (entry.lease.maySettle(boot)) {
        if (steps.settles.size() < m_options.mostTaken) {
            steps.settles.push_back(entry.lease.settle(address));
        }
        return;
    }
    if (now < entry.turn || now < entry.notBefore) {
        return;
    }
    if (!entry.lease.isSettled()) {
        steps.waits.push_back(entry.engine);
    } else if (entry.lease.isStale(boot)) {
        steps.isReadWanted = true;
    } else {
        steps.orders.push_back(entry.engine);
    }
}

void OrderFailover::noteRows(const std::vector<Store::TableRow> &rows, Core::BootTime askedAt, Core::BootTime boot, Core::TimePoint now)
{
    std::map<std::string, Store::TableRow> byAddress;
    for (const Store::TableRow &row : rows) {
        byAddress[row.key] = row;
    }
    for (auto &[address, entry] : m_entries) {
        const auto row = byAddress.find(address);
        const std::uint64_t before = entry.lease.fence();
        entry.lease.noteRow(row == byAddress.end() ? std::nullopt : std::optional(row->second), askedAt, boot);
        entry.isRowKnown = true;
        if (before > 0 && entry.lease.fence() != before && !entry.lease.isHeld()) {
            entry.respite = respiteOf(entry.lease, now);
        }
    }
}

// A holder that settled the row has waited already; without the difference one that is lost right after it would be left alone for 4.3 s more.
Core::TimePoint OrderFailover::respiteOf(const OrderLease &lease, Core::TimePoint now) const
{
    const bool hasWaited = lease.holder().has_value() && lease.holder()->successorOf.empty();
    return now + m_options.overdue + (hasWaited ? std::chrono::milliseconds(0) : m_leaseOptions.wait());
}

void OrderFailover::noteCommit(const std::vector<Store::RowWrite> &writes, const Store::CommitAnswer &answer, Core::BootTime askedAt, Core::BootTime now)
{
    if (answer.outcome == Store::CommitOutcome::NotSent) {
        return;
    }
    for (const Store::RowWrite &write : writes) {
        Entry &entry = m_entries.at(write.key);
        if (answer.outcome == Store::CommitOutcome::Committed) {
            entry.lease.noteWritten(write, answer.revision, askedAt, now);
        } else {
            // Somebody else was faster, or nobody knows: the row tells.
            entry.isRowKnown = false;
        }
    }
}

void OrderFailover::noteAlive(const std::string &address, Core::TimePoint now)
{
    const auto entry = m_entries.find(address);
    if (entry != m_entries.end()) {
        entry->second.aliveUntil = now + m_options.aliveTime;
        entry->second.notBefore = now;
    }
}

void OrderFailover::postpone(const std::string &address, Core::TimePoint moment)
{
    const auto entry = m_entries.find(address);
    if (entry != m_entries.end()) {
        entry->second.notBefore = moment;
    }
}

OrderLease *OrderFailover::lease(const std::string &address)
{
    const auto entry = m_entries.find(address);
    return entry == m_entries.end() ? nullptr : &entry->second.lease;
}

} // namespace Verbena::Decisions
