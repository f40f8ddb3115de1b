#include "claimmanager.h"

#include <eventloop/loop.h>

namespace Verbena::Control {

using namespace Decisions;

ClaimManager::ClaimManager(Store::TableService &table, EventLoop::Loop &loop, const ClaimOptions &options, std::string owner, std::uint64_t seed)
    : m_table(table)
    , m_loop(loop)
    , m_registry(options, std::move(owner), seed, loop.now())
    , m_timer(loop, [this] { run(); })
    , m_run(loop, [this] { run(); })
    , m_alive(std::make_shared<bool>(true))
{
}

ClaimManager::~ClaimManager() = default;

ClaimId ClaimManager::claim(const ClaimRequest &request, ResultCallback done)
{
    const ClaimId id = m_registry.claim(request, reading());
    m_callbacks.emplace(id, std::move(done));
    m_run.schedule();
    return id;
}

bool ClaimManager::mayDispatch(ClaimId id) const
{
    return m_registry.mayDispatch(id, m_loop.now());
}

void ClaimManager::recordOutcome(ClaimId id, const ClaimOutcome &outcome)
{
    m_registry.recordOutcome(id, outcome, m_loop.now());
    m_run.schedule();
}

void ClaimManager::release(ClaimId id)
{
    m_registry.release(id, m_loop.now());
    m_run.schedule();
}

void ClaimManager::abandon(ClaimId id)
{
    m_registry.abandon(id);
}

ClockReading ClaimManager::reading() const
{
    return {m_loop.now(), std::chrono::system_clock::now()};
}

void ClaimManager::run()
{
    m_registry.advance(reading());
    for (const ClaimAction &action : m_registry.takeActions()) {
        execute(action);
    }
    const auto next = m_registry.nextDeadline(m_loop.now());
    if (next) {
        m_timer.startAt(*next);
    } else {
        m_timer.stop();
    }
}

void ClaimManager::execute(const ClaimAction &action)
{
    const std::weak_ptr<bool> alive = m_alive;
    if (const auto *commit = std::get_if<CommitRows>(&action)) {
        m_table.commit(commit->writes, commit->deadline, [this, alive, id = commit->id](const Store::CommitAnswer &answer) {
            if (!alive.expired()) {
                m_registry.handleCommit(id, answer, reading());
                m_run.schedule();
            }
        });
    } else if (const auto *read = std::get_if<ReadRows>(&action)) {
        m_table.get(read->keys, read->deadline, [this, alive, id = read->id](const Core::Result<std::vector<Store::TableRow>> &rows) {
            if (!alive.expired()) {
                m_registry.handleRows(id, rows, reading());
                m_run.schedule();
            }
        });
    } else if (const auto *report = std::get_if<ReportClaimResult>(&action)) {
        const auto callback = m_callbacks.extract(report->id);
        if (!callback.empty()) {
            callback.mapped()(report->result);
        }
    }
}

} // namespace Verbena::Control
