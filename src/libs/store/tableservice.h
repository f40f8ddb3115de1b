#pragma once

#include "storetime.h"

#include <core/result.h>
#include <core/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Store {

/// \brief A row of the platform's table; a deleted row stays as a tombstone with its revision.
struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of the whole table at the row's last commit; only ever goes up.
    bool isDeleted = false;
    std::optional<StoreTime> committedAfter = {}; ///< The row was written later than that; nothing if that is not known.
};

/// \brief One write of a conditional commit.
struct RowWrite
{
    std::string key;
    std::optional<std::string> value; ///< Nothing deletes the row.
    /// The commit fails unless the row stands at this revision; 0: there never was such a row. A tombstone stands at its own
    /// revision, so that a late create cannot bring back what was deleted.
    std::optional<std::uint64_t> expectedRevision;
};

/// \brief How a commit ended.
enum class CommitOutcome {
    Committed,
    Conflict, ///< A row stands at another revision; nothing was written.
    Unknown, ///< The answer was lost: it may have been written or not. Read back to learn which.
    NotSent, ///< Budget, outage or deadline kept it here: nothing was written.
};

/// \brief The answer to a commit.
struct CommitAnswer
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    std::uint64_t revision = 0; ///< Of the table after a commit that succeeded.
    std::vector<TableRow> current; ///< After a conflict: the rows that differ, as they stand.
    std::string detail; ///< A sentence for logs, with step and peer.
};

/// \brief The platform's transactional table service.
class TableService
{
public:
    using RowsCallback = std::function<void(Core::Result<std::vector<TableRow>>)>;
    using CommitCallback = std::function<void(const CommitAnswer &)>;

    virtual ~TableService() = default;

    /// \brief Reads rows by key; rows that never were are left out.
    virtual void get(const std::vector<std::string> &keys, Core::TimePoint deadline, RowsCallback done) = 0;

    /// \brief Reads the rows below \a prefix that changed after \a sinceRevision, by rising revision, at most \a limit.
    virtual void scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit, Core::TimePoint deadline, RowsCallback done) = 0;

    /// \brief Writes all rows or none.
    virtual void commit(const std::vector<RowWrite> &writes, Core::TimePoint deadline, CommitCallback done) = 0;
};

} // namespace Verbena::Store
