#pragma once

#include "claimrecord.h"
#include "clockreading.h"

#include <store/tableservice.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Verbena::Decisions {

/// \brief Intervals and limits of a ClaimSweeper.
struct ClaimSweeperOptions
{
    std::chrono::minutes clockSkew{10}; ///< Time from the expiry of a claim to its removal; longer than any process may consider it valid.
    std::chrono::milliseconds busyInterval{1'000}; ///< Interval between two pages while there are claims to remove.
    std::chrono::milliseconds idleInterval{60'000}; ///< Interval between two pages if nothing more has expired.
    std::chrono::milliseconds operationTimeout{2'000};
    std::size_t pageRows = 500;
};

/// \brief Requests the row with the revision that the last sweep reached; pass the answer to ClaimSweeper::handleCursor().
struct ReadSweepCursor
{
    Core::TimePoint deadline;
};

/// \brief Requests the oldest claims that have not been swept yet; pass the answer to ClaimSweeper::handlePage().
struct ScanClaims
{
    std::uint64_t sinceRevision = 0;
    std::size_t limit = 0;
    Core::TimePoint deadline;
};

/// \brief Requests a commit; pass the answer to ClaimSweeper::handleCommit().
struct RemoveClaims
{
    std::vector<Store::RowWrite> writes;
    Core::TimePoint deadline;
};

using SweepAction = std::variant<ReadSweepCursor, ScanClaims, RemoveClaims>;

/// \brief Removes expired claims, oldest first, in one process at a time that holds a lease.
///
/// Two sweepers at the same time do no harm, because each removal is conditional on the revision that was read.
class ClaimSweeper
{
public:
    static constexpr const char *claimsPrefix = "claims/";
    static constexpr const char *cursorRow = "sweeps/claims";

    explicit ClaimSweeper(const ClaimSweeperOptions &options = {});

    /// \brief Returns the next operation if one is due. At most one operation is pending at a time.
    std::optional<SweepAction> advance(Core::TimePoint now);

    void handleCursor(const Core::Result<std::vector<Store::TableRow>> &rows, Core::TimePoint now);
    void handlePage(const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading);
    void handleCommit(const Store::CommitAnswer &answer, Core::TimePoint now);

    /// \brief Discards the cursor and pending removals. Call it when the lease was acquired again.
    void restart();

    /// \brief Returns when advance() is due; empty while an operation is pending.
    std::optional<Core::TimePoint> nextDeadline() const;

private:
    void finishStep(Core::TimePoint next);

    ClaimSweeperOptions m_options;
    bool m_isOperationPending = false;
    std::optional<std::uint64_t> m_cursor; ///< Revision up to which all claims are swept; empty until it was read.
    std::optional<std::uint64_t> m_cursorRevision;
    std::uint64_t m_nextCursor = 0;
    std::vector<Store::RowWrite> m_removals;
    Core::TimePoint m_nextAction;
};

} // namespace Verbena::Decisions
