#include "orderleaseclient.h"

#include "ordertable.h"
#include "weightsevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

namespace Verbena::Weights {

using Core::BootClock;
using std::chrono::milliseconds;

namespace {

// Several times the latency of a slow store.
constexpr milliseconds storeTimeout{700};

// Delay after a failed step.
constexpr milliseconds retryDelay{300};

} // namespace

OrderLeaseClient::OrderLeaseClient(EventLoop::Loop &loop,
    const Decisions::OrderLeaseOptions &options,
    const std::string &host,
    std::string engineAddress,
    Store::RowStore &rows,
    StepObserver stepDone)
    : m_loop(loop)
    , m_engineAddress(std::move(engineAddress))
    , m_rows(rows)
    , m_stepDone(std::move(stepDone))
    , m_lease(options, {host, true, ""})
{
}

bool OrderLeaseClient::mayOrder() const
{
    return m_lease.mayOrder(BootClock::now());
}

bool OrderLeaseClient::isRequestPending() const
{
    return m_isRequestPending;
}

std::uint64_t OrderLeaseClient::fencingNumber() const
{
    return m_lease.fencingNumber();
}

void OrderLeaseClient::markFenced()
{
    m_lease.markFenced();
}

void OrderLeaseClient::obtain()
{
    const Core::BootTime now = BootClock::now();
    if (!m_lease.isHeld()) {
        commit(m_lease.acquisitionWrite(m_engineAddress));
    } else if (m_lease.isHandoverComplete()) {
        confirm();
    } else if (m_lease.mayCompleteHandover(now)) {
        commit(m_lease.completionWrite(m_engineAddress));
    } else if (const auto wait = m_lease.takeUnreportedWait(now)) {
        Observe::log(orderWaits, {{"engine", m_engineAddress}, {"after", m_lease.holder()->previousHost}, {"in_ms", std::to_string(wait->count())}});
    }
}

void OrderLeaseClient::commit(const Store::RowWrite &write)
{
    m_isRequestPending = true;
    const Core::BootTime requestedAt = BootClock::now();
    const auto handle = [this, write, requestedAt](const Store::CommitAnswer &answer) {
        m_isRequestPending = false;
        handleCommit(write, answer, requestedAt);
        const bool isAnswered = answer.outcome != Store::CommitOutcome::NotSent;
        m_stepDone(m_loop.now() + (isAnswered && m_lease.isHeld() ? milliseconds(0) : retryDelay));
    };
    m_rows.commit(orderTable, {write}, m_loop.now() + storeTimeout, m_lifetime.guard(handle));
}

void OrderLeaseClient::handleCommit(const Store::RowWrite &write, const Store::CommitAnswer &answer, Core::BootTime requestedAt)
{
    switch (answer.outcome) {
    case Store::CommitOutcome::Committed:
        handleCommitted(write, answer.revision, requestedAt);
        return;
    case Store::CommitOutcome::Conflict:
        handleConflict(answer, requestedAt);
        return;
    case Store::CommitOutcome::Unknown:
        // The outcome has to be known before the next write.
        confirm();
        return;
    case Store::CommitOutcome::NotSent:
        Observe::log(orderRowMissing, {{"engine", m_engineAddress}, {"detail", answer.detail}});
        return;
    }
}

void OrderLeaseClient::handleCommitted(const Store::RowWrite &write, std::uint64_t revision, Core::BootTime requestedAt)
{
    const bool wasHeld = m_lease.isHeld();
    m_lease.handleCommitted(write, revision, requestedAt, BootClock::now());
    if (!wasHeld && m_lease.isHeld()) {
        Observe::log(ordersTaken, {{"engine", m_engineAddress}, {"revision", std::to_string(revision)}, {"after", m_lease.holder()->previousHost}});
    }
}

void OrderLeaseClient::handleConflict(const Store::CommitAnswer &answer, Core::BootTime requestedAt)
{
    for (const Store::TableRow &row : answer.current) {
        if (row.key == m_engineAddress) {
            m_lease.handleRow(row, requestedAt, BootClock::now());
        }
    }
    if (answer.current.empty()) {
        confirm();
    }
}

void OrderLeaseClient::confirm()
{
    m_isRequestPending = true;
    const Core::BootTime requestedAt = BootClock::now();
    const auto handle = [this, requestedAt](const Core::Result<std::optional<Store::TableRow>> &row) {
        m_isRequestPending = false;
        if (row) {
            m_lease.handleRow(row.value(), requestedAt, BootClock::now());
        } else {
            Observe::log(orderRowMissing, row.error(), {{"engine", m_engineAddress}});
        }
        m_stepDone(m_loop.now() + (row ? milliseconds(0) : retryDelay));
    };
    m_rows.readRow(orderTable, m_engineAddress, m_loop.now() + storeTimeout, m_lifetime.guard(handle));
}

} // namespace Verbena::Weights
