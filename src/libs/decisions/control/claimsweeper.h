#pragma once

#include "claimrecord.h"
#include "clockreading.h"

#include <store/tableservice.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Verbena::Decisions {

/// \brief How expired claims are removed.
struct ClaimSweeperOptions
{
    std::chrono::minutes clockSkew{10}; ///< A claim is removed this long after its expiry, later than anybody may take it for live.
    std::chrono::milliseconds busyInterval{1'000}; ///< Between two pages while there is something to remove.
    std::chrono::milliseconds idleInterval{60'000};
    std::chrono::milliseconds operationTimeout{2'000};
    std::size_t pageRows = 500;
};

/// \brief Asks for the row that says how far the last sweep came; the answer goes to takeCursor().
struct ReadSweepCursor
{
    Core::TimePoint deadline;
};

/// \brief Asks for the oldest claims that were not swept yet; the answer goes to takePage().
struct ScanClaims
{
    std::uint64_t sinceRevision = 0;
    std::size_t limit = 0;
    Core::TimePoint deadline;
};

/// \brief Asks for a commit; the answer goes to takeCommit().
struct RemoveClaims
{
    std::vector<Store::RowWrite> writes;
    Core::TimePoint deadline;
};

using SweepAction = std::variant<ReadSweepCursor, ScanClaims, RemoveClaims>;

/// \brief Removes claims whose time is over, oldest first; one process at a time does it, under a lease.
///
/// A second one at the same time would do no harm: each removal names the revision that it saw.
class ClaimSweeper
{
public:
    static constexpr const char *claimsPrefix = "claims/";
    static constexpr const char *cursorRow = "sweeps/claims";

    explicit ClaimSweeper(const ClaimSweeperOptions &options = {});

    /// \brief The next operation, if one is due; there is at most one under way.
    std::optional<SweepAction> advance(Core::TimePoint now);

    void handleCursor(const Core::Result<std::vector<Store::TableRow>> &rows, Core::TimePoint now);
    void handlePage(const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading);
    void handleCommit(const Store::CommitAnswer &answer, Core::TimePoint now);

    /// \brief Forgets what was read; for a process that got the lease anew.
    void restart();

    /// \brief When advance() has something to do; nothing while an operation is under way.
    std::optional<Core::TimePoint> nextDeadline() const;

private:
    void finishStep(Core::TimePoint next);

    ClaimSweeperOptions m_options;
    bool m_isOperationPending = false;
    std::optional<std::uint64_t> m_cursor; ///< All up to this revision is swept; nothing until it was read.
    std::optional<std::uint64_t> m_cursorRevision;
    std::uint64_t m_nextCursor = 0;
    std::vector<Store::RowWrite> m_removals;
    Core::TimePoint m_nextAction;
};

} // namespace Verbena::Decisions
