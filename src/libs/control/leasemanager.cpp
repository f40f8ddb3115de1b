#include "leasemanager.h"

#include <eventloop/loop.h>

namespace Verbena::Control {

using namespace Decisions;

namespace {

// Maximum number of hosts that load weights at once; with more, each of them loads slowly.
constexpr int weightPermitCount = 3;

} // namespace

LeaseManager::LeaseManager(Store::TableService &table, EventLoop::Loop &loop, Lease lease, std::function<void()> changedCallback)
    : m_table(table)
    , m_loop(loop)
    , m_lease(std::move(lease))
    , m_changedCallback(std::move(changedCallback))
    , m_timer(loop, [this] { run(); })
    , m_run(loop, [this] { run(); })
    , m_alive(std::make_shared<bool>(true))
{
}

LeaseManager::~LeaseManager() = default;

Lease LeaseManager::namedLease(const LeaseOptions &options, const std::string &name, const std::string &owner, std::uint64_t seed)
{
    return {options, {"leases/" + name}, owner, seed};
}

Lease LeaseManager::weightPermit(const LeaseOptions &options, const std::string &owner, std::uint64_t seed)
{
    std::vector<std::string> rows;
    for (int i = 1; i <= weightPermitCount; ++i) {
        rows.push_back("permits/weights/" + std::to_string(i));
    }
    return {options, rows, owner, seed};
}

void LeaseManager::setWanted(bool isWanted)
{
    m_lease.setWanted(isWanted);
    m_run.schedule();
}

const Lease &LeaseManager::lease() const
{
    return m_lease;
}

ClockReading LeaseManager::reading() const
{
    return {m_loop.now(), std::chrono::system_clock::now()};
}

void LeaseManager::run()
{
    const auto action = m_lease.advance(reading());
    notifyIfChanged();
    if (action) {
        execute(*action);
        return;
    }
    const auto next = m_lease.nextDeadline();
    if (next) {
        m_timer.startAt(*next);
    } else {
        m_timer.stop();
    }
}

void LeaseManager::execute(const LeaseAction &action)
{
    const std::weak_ptr<bool> alive = m_alive;
    if (const auto *read = std::get_if<LeaseRead>(&action)) {
        m_table.get(read->keys, read->deadline, [this, alive](const Core::Result<std::vector<Store::TableRow>> &rows) {
            if (!alive.expired()) {
                m_lease.handleRows(rows, reading());
                m_run.schedule();
            }
        });
    } else if (const auto *write = std::get_if<LeaseWrite>(&action)) {
        m_table.commit({write->write}, write->deadline, [this, alive](const Store::CommitAnswer &answer) {
            if (!alive.expired()) {
                m_lease.handleCommit(answer, reading());
                m_run.schedule();
            }
        });
    }
}

void LeaseManager::notifyIfChanged()
{
    const bool isHeld = m_lease.isHeld(m_loop.now());
    if (isHeld != m_wasHeld) {
        m_wasHeld = isHeld;
        m_changedCallback();
    }
}

} // namespace Verbena::Control
