#include "claimsweeper.h"

#include <charconv>

namespace Verbena::Decisions {

ClaimSweeper::ClaimSweeper(const ClaimSweeperOptions &options)
    : m_options(options)
{
}

std::optional<SweepAction> ClaimSweeper::advance(Core::TimePoint now)
{
    if (m_isOperationPending || now < m_nextAction) {
        return std::nullopt;
    }
    m_isOperationPending = true;
    const Core::TimePoint deadline = now + m_options.operationTimeout;
    if (!m_cursor) {
        return ReadSweepCursor{deadline};
    }
    if (!m_removals.empty()) {
        // The cursor is committed with the removals, so that it never runs ahead of them.
        std::vector<Store::RowWrite> writes = std::exchange(m_removals, {});
        writes.push_back({cursorRow, std::to_string(m_nextCursor), m_cursorRevision});
        return RemoveClaims{std::move(writes), deadline};
    }
    return ScanClaims{*m_cursor, m_options.pageRows, deadline};
}

void ClaimSweeper::handleCursor(const Core::Result<std::vector<Store::TableRow>> &rows, Core::TimePoint now)
{
    if (!rows) {
        finishStep(now + m_options.busyInterval);
        return;
    }
    std::uint64_t cursor = 0;
    m_cursorRevision = 0;
    if (!rows.value().empty()) {
        const Store::TableRow &row = rows.value().front();
        // If the cursor cannot be parsed, the sweep starts from the beginning.
        std::from_chars(row.value.data(), row.value.data() + row.value.size(), cursor);
        m_cursorRevision = row.revision;
    }
    m_cursor = cursor;
    finishStep(now);
}

void ClaimSweeper::handlePage(const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading)
{
    if (!rows || rows.value().empty()) {
        finishStep(reading.now + m_options.idleInterval);
        return;
    }
    m_nextCursor = *m_cursor;
    bool isEndReached = rows.value().size() < m_options.pageRows;
    for (const Store::TableRow &row : rows.value()) {
        if (!row.isDeleted) {
            const auto record = ClaimRecord::decode(row.value);
            // Claims after one that has not expired were written later and expire later.
            if (record && record.value().expiry + m_options.clockSkew > reading.wall) {
                isEndReached = true;
                break;
            }
            m_removals.push_back({row.key, std::nullopt, row.revision});
        }
        m_nextCursor = row.revision;
    }
    if (m_removals.empty()) {
        m_cursor = m_nextCursor;
    }
    const bool isBusy = !m_removals.empty();
    finishStep(isBusy ? reading.now : reading.now + (isEndReached ? m_options.idleInterval : m_options.busyInterval));
}

void ClaimSweeper::handleCommit(const Store::CommitAnswer &answer, Core::TimePoint now)
{
    if (answer.outcome == Store::CommitOutcome::Committed) {
        m_cursor = m_nextCursor;
        m_cursorRevision = answer.revision;
    } else if (answer.outcome != Store::CommitOutcome::NotSent) {
        // A row was changed by another process, or the answer was lost: read the table again.
        restart();
    }
    finishStep(now + m_options.busyInterval);
}

void ClaimSweeper::restart()
{
    m_cursor.reset();
    m_removals.clear();
}

std::optional<Core::TimePoint> ClaimSweeper::nextDeadline() const
{
    return m_isOperationPending ? std::nullopt : std::optional(m_nextAction);
}

void ClaimSweeper::finishStep(Core::TimePoint next)
{
    m_isOperationPending = false;
    m_nextAction = next;
}

} // namespace Verbena::Decisions
