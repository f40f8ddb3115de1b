#pragma once

#include "claimrecord.h"

#include <store/tableservice.h>

#include <variant>
#include <vector>

namespace Verbena::Decisions {

/// \brief Names a claim of one ledger.
enum class ClaimId : std::uint64_t {};

/// \brief Names an operation on the table that a ledger asked for.
enum class OperationId : std::uint64_t {};

/// \brief A request that may run at most once, with the key that its caller gave.
struct ClaimRequest
{
    std::string organisation;
    std::string team;
    std::string idempotencyKey;
    std::uint64_t requestHash = 0; ///< Of path and body.
    Core::TimePoint deadline; ///< Of the request.
};

/// \brief What became of a claim.
enum class ClaimVerdict {
    Granted, ///< Ours: dispatch once, before ClaimResult::dispatchBy.
    Duplicate, ///< The key was claimed before: give the outcome, or say "unknown" if there is none.
    NotClaimed, ///< Nobody will run it under this claim: a true "not run".
};

/// \brief The answer to a claim.
struct ClaimResult
{
    ClaimVerdict verdict = ClaimVerdict::NotClaimed;
    Core::TimePoint dispatchBy; ///< If granted. A holder that wakes up later must not dispatch.
    std::optional<ClaimOutcome> outcome; ///< Of a duplicate's first run.
    bool isSameRequest = true; ///< False if the key was used for another request: its outcome is not this caller's answer.
    std::string detail; ///< A sentence for people.

    static ClaimResult duplicate(const ClaimRecord &first, std::uint64_t requestHash);
    static ClaimResult notClaimed(const char *detail);
};

/// \brief The row with \a key among \a rows, or null.
const Store::TableRow *findRow(const std::vector<Store::TableRow> &rows, const std::string &key);

/// \brief Asks for a commit; the answer goes to handleCommit().
struct CommitRows
{
    OperationId id{};
    std::vector<Store::RowWrite> writes;
    Core::TimePoint deadline;
};

/// \brief Asks for a read; the answer goes to handleRows().
struct ReadRows
{
    OperationId id{};
    std::vector<std::string> keys;
    Core::TimePoint deadline;
};

/// \brief Tells what became of a claim.
struct ReportClaimResult
{
    ClaimId id{};
    ClaimResult result;
};

using ClaimAction = std::variant<CommitRows, ReadRows, ReportClaimResult>;

/// \brief Spans and bounds of a ledger.
struct ClaimOptions
{
    std::chrono::milliseconds decisionTimeout{3'000}; ///< A claim that is not decided by then is not claimed.
    std::chrono::milliseconds operationTimeout{1'000};
    std::chrono::milliseconds dispatchWindow{30'000}; ///< From the claim to the latest dispatch.
    std::chrono::hours lifetime{24}; ///< For so long a key cannot be used anew.
    std::chrono::minutes clockSkew{5}; ///< Between the wall clocks of any two hosts, at most.
    std::chrono::milliseconds updateTimeout{60'000}; ///< For so long outcomes and withdrawals are tried.
    double writesPerSecond = 20; ///< Commits of this process.
    double readsPerSecond = 20;
    std::size_t batchRows = 64; ///< Rows of one commit.
};

} // namespace Verbena::Decisions
