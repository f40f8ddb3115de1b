#pragma once

#include "claimrecord.h"

#include <store/tableservice.h>

#include <variant>
#include <vector>

namespace Verbena::Decisions {

/// \brief Identifier of a claim within one registry.
enum class ClaimId : std::uint64_t {};

/// \brief Identifier of a table operation that a registry requested.
enum class OperationId : std::uint64_t {};

/// \brief A request that may run at most once, with the idempotency key of its caller.
struct ClaimRequest
{
    std::string organisation;
    std::string team;
    std::string idempotencyKey;
    std::uint64_t requestHash = 0; ///< Hash of path and body.
    Core::TimePoint deadline; ///< Deadline of the request.
};

/// \brief The decision on a claim.
enum class ClaimVerdict {
    Granted, ///< The request may be dispatched once, before ClaimResult::dispatchBy.
    Duplicate, ///< The key was claimed before. Answer with the recorded outcome, or with "unknown" if there is none.
    NotClaimed, ///< No process will run the request under this claim, so the answer "not run" is correct.
};

/// \brief The result of a claim.
struct ClaimResult
{
    ClaimVerdict verdict = ClaimVerdict::NotClaimed;
    Core::TimePoint dispatchBy; ///< Latest dispatch of a granted claim; a process that was paused beyond this time must not dispatch.
    std::optional<ClaimOutcome> outcome; ///< Outcome of the first run, for a duplicate.
    bool isSameRequest = true; ///< False if the key was used for another request, whose outcome must not be given to this caller.
    std::string detail; ///< Explanation for human readers.

    static ClaimResult duplicate(const ClaimRecord &first, std::uint64_t requestHash);
    static ClaimResult notClaimed(const char *detail);
};

/// \brief Returns the row with \a key in \a rows, or null.
const Store::TableRow *findRow(const std::vector<Store::TableRow> &rows, const std::string &key);

/// \brief Requests a commit; pass its answer to ClaimRegistry::handleCommit().
struct CommitRows
{
    OperationId id{};
    std::vector<Store::RowWrite> writes;
    Core::TimePoint deadline;
};

/// \brief Requests a read; pass its answer to ClaimRegistry::handleRows().
struct ReadRows
{
    OperationId id{};
    std::vector<std::string> keys;
    Core::TimePoint deadline;
};

/// \brief Reports the result of a claim to its caller.
struct ReportClaimResult
{
    ClaimId id{};
    ClaimResult result;
};

using ClaimAction = std::variant<CommitRows, ReadRows, ReportClaimResult>;

/// \brief Timeouts and limits of a ClaimRegistry.
struct ClaimOptions
{
    std::chrono::milliseconds decisionTimeout{3'000}; ///< A claim that is undecided after this time ends as NotClaimed.
    std::chrono::milliseconds operationTimeout{1'000};
    std::chrono::milliseconds dispatchWindow{30'000}; ///< Time from the claim to the latest dispatch.
    std::chrono::hours lifetime{24}; ///< Time during which a key cannot be used again.
    std::chrono::minutes clockSkew{5}; ///< Maximum difference between the wall clocks of any two hosts.
    std::chrono::milliseconds updateTimeout{60'000}; ///< Time during which the commit of an outcome or withdrawal is retried.
    double writesPerSecond = 20; ///< Commits of this process per second.
    double readsPerSecond = 20; ///< Reads of this process per second.
    std::size_t batchRows = 64; ///< Maximum number of rows of one commit.
};

} // namespace Verbena::Decisions
