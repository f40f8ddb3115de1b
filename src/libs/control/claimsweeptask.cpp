#include "claimsweeptask.h"

#include <eventloop/loop.h>

namespace Verbena::Control {

using namespace Decisions;

namespace {

// Every router waits for this lease, and a late change of its holder does no harm.
constexpr LeaseOptions leaseOptions{.maximumRetryInterval = std::chrono::minutes(5)};

} // namespace

ClaimSweepTask::ClaimSweepTask(
    Store::TableService &table, EventLoop::Loop &loop, const ClaimSweeperOptions &options, const std::string &owner, std::uint64_t seed)
    : m_table(table)
    , m_loop(loop)
    , m_sweeper(options)
    , m_timer(loop, [this] { run(); })
    , m_alive(std::make_shared<bool>(true))
    , m_lease(table, loop, LeaseManager::namedLease(leaseOptions, "claim-sweep", owner, seed), [this] { handleLeaseChange(); })
{
    m_lease.setWanted(true);
}

ClaimSweepTask::~ClaimSweepTask() = default;

void ClaimSweepTask::handleLeaseChange()
{
    if (m_lease.lease().isHeld(m_loop.now())) {
        m_sweeper.restart();
        run();
    }
}

void ClaimSweepTask::run()
{
    if (!m_lease.lease().isHeld(m_loop.now())) {
        return;
    }
    if (const auto action = m_sweeper.advance(m_loop.now())) {
        execute(*action);
    } else if (const auto next = m_sweeper.nextDeadline()) {
        m_timer.startAt(*next);
    }
}

void ClaimSweepTask::execute(const SweepAction &action)
{
    const std::weak_ptr<bool> alive = m_alive;
    if (const auto *cursor = std::get_if<ReadSweepCursor>(&action)) {
        m_table.get({ClaimSweeper::cursorRow}, cursor->deadline, [this, alive](const auto &rows) {
            if (!alive.expired()) {
                m_sweeper.handleCursor(rows, m_loop.now());
                run();
            }
        });
    } else if (const auto *scan = std::get_if<ScanClaims>(&action)) {
        m_table.scan(ClaimSweeper::claimsPrefix, scan->sinceRevision, scan->limit, scan->deadline, [this, alive](const auto &rows) {
            if (!alive.expired()) {
                m_sweeper.handlePage(rows, {m_loop.now(), std::chrono::system_clock::now()});
                run();
            }
        });
    } else if (const auto *remove = std::get_if<RemoveClaims>(&action)) {
        m_table.commit(remove->writes, remove->deadline, [this, alive](const Store::CommitAnswer &answer) {
            if (!alive.expired()) {
                m_sweeper.handleCommit(answer, m_loop.now());
                run();
            }
        });
    }
}

} // namespace Verbena::Control
