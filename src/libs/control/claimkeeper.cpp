#include "claimkeeper.h"

#include <eventloop/loop.h>

namespace Verbena::Control {

using namespace Decisions;

ClaimKeeper::ClaimKeeper(Store::TableService &table, EventLoop::Loop &loop, const ClaimOptions &options, std::string owner, std::uint64_t seed)
    : m_table(table)
    , m_loop(loop)
    , m_ledger(options, std::move(owner), seed, loop.now())
    , m_timer(loop, [this] { run(); })
    , m_run(loop, [this] { run(); })
    , m_alive(std::make_shared<bool>(true))
{
}

ClaimKeeper::~ClaimKeeper() = default;

ClaimId ClaimKeeper::claim(const ClaimRequest &request, DecidedCallback done)
{
    const ClaimId id = m_ledger.claim(request, reading());
    m_callbacks.emplace(id, std::move(done));
    m_run.schedule();
    return id;
}

bool ClaimKeeper::mayDispatch(ClaimId id) const
{
    return m_ledger.mayDispatch(id, m_loop.now());
}

void ClaimKeeper::recordOutcome(ClaimId id, const ClaimOutcome &outcome)
{
    m_ledger.recordOutcome(id, outcome, m_loop.now());
    m_run.schedule();
}

void ClaimKeeper::release(ClaimId id)
{
    m_ledger.release(id, m_loop.now());
    m_run.schedule();
}

void ClaimKeeper::abandon(ClaimId id)
{
    m_ledger.abandon(id);
}

ClockReading ClaimKeeper::reading() const
{
    return {m_loop.now(), std::chrono::system_clock::now()};
}

void ClaimKeeper::run()
{
    m_ledger.advance(reading());
    for (const ClaimAction &action : m_ledger.takeActions()) {
        carryOut(action);
    }
    const auto next = m_ledger.nextDeadline(m_loop.now());
    if (next) {
        m_timer.startAt(*next);
    } else {
        m_timer.stop();
    }
}

void ClaimKeeper::carryOut(const ClaimAction &action)
{
    const std::weak_ptr<bool> alive = m_alive;
    if (const auto *commit = std::get_if<CommitRows>(&action)) {
        m_table.commit(commit->writes, commit->deadline, [this, alive, id = commit->id](const Store::CommitAnswer &answer) {
            if (!alive.expired()) {
                m_ledger.handleCommit(id, answer, reading());
                m_run.schedule();
            }
        });
    } else if (const auto *read = std::get_if<ReadRows>(&action)) {
        m_table.get(read->keys, read->deadline, [this, alive, id = read->id](const Core::Result<std::vector<Store::TableRow>> &rows) {
            if (!alive.expired()) {
                m_ledger.handleRows(id, rows, reading());
                m_run.schedule();
            }
        });
    } else if (const auto *decided = std::get_if<ClaimDecided>(&action)) {
        const auto callback = m_callbacks.extract(decided->id);
        if (!callback.empty()) {
            callback.mapped()(decided->result);
        }
    }
}

} // namespace Verbena::Control
