#pragma once

#include "claimtypes.h"

#include <deque>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Queue of updates to rows of decided claims: outcomes of runs, and withdrawals of claims that no process will run.
///
/// Updates that cannot be committed in time are dropped. The row then shows a claim without an outcome until it expires.
class ClaimUpdates
{
public:
    /// \brief A change to a row that holds a token of this process.
    struct Update
    {
        std::string rowKey;
        std::string token;
        std::optional<std::string> value; ///< An empty value withdraws the claim.
        std::uint64_t expectedRevision = 0; ///< 0 also makes a first commit fail that may still be on its way.
        Core::TimePoint deadline;
    };

    void add(Update update);
    bool isWaiting() const;

    /// \brief Returns true while an update of the row is queued or being committed.
    bool contains(const std::string &rowKey) const;

    /// \brief Returns the value of the latest pending update of the row; empty for a withdrawal or if there is no update.
    std::optional<std::string> valueFor(const std::string &rowKey) const;

    /// \brief Drops updates whose deadline has passed and returns the writes of a commit of up to \a limit rows.
    std::vector<Store::RowWrite> beginCommit(std::size_t limit, Core::TimePoint now);

    /// \brief Handles the answer to the commit that was begun last.
    void handleCommit(const Store::CommitAnswer &answer);

private:
    void requeue(Update update);
    void resolveConflict(Update update, const Store::TableRow *current);

    std::deque<Update> m_waiting;
    std::vector<Update> m_committing;
    std::unordered_map<std::string, std::optional<std::string>> m_values;
};

} // namespace Verbena::Decisions
