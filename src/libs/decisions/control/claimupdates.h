#pragma once

#include "claimtypes.h"

#include <deque>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Writes behind claims that are decided: outcomes of runs, and withdrawals of claims that nobody will run.
///
/// Best effort: what cannot be written in time is dropped, and the claim reads as one without an outcome until it expires.
class ClaimUpdates
{
public:
    /// \brief A change to a row that carries our token.
    struct Update
    {
        std::string rowKey;
        std::string token;
        std::optional<std::string> value; ///< Nothing withdraws the claim.
        std::uint64_t expectedRevision = 0; ///< 0 also fences off a first write that may still be on its way.
        Core::TimePoint deadline;
    };

    void add(Update update);
    bool isWaiting() const;

    /// \brief True while an update for the row is waiting or under way.
    bool contains(const std::string &rowKey) const;

    /// \brief The latest value on its way for the row, if there is one.
    std::optional<std::string> valueFor(const std::string &rowKey) const;

    /// \brief Drops what is late and begins a commit of up to \a limit rows.
    std::vector<Store::RowWrite> beginCommit(std::size_t limit, Core::TimePoint now);

    /// \brief Takes the answer to the commit begun last.
    void handleCommit(const Store::CommitAnswer &answer);

private:
    void requeue(Update update);
    void resolveConflict(Update update, const Store::TableRow *current);

    std::deque<Update> m_waiting;
    std::vector<Update> m_committing;
    std::unordered_map<std::string, std::optional<std::string>> m_values;
};

} // namespace Verbena::Decisions
