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

/// \brief Row of the platform's table. A deleted row stays as a tombstone with its revision.
struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Revision of the whole table at the row's last commit; never decreases.
    bool isDeleted = false;
    std::optional<StoreTime> committedAfter = {}; ///< Store time after which the row was written; nothing if unknown.
};

/// \brief Write of one row in a conditional commit.
struct RowWrite
{
    std::string key;
    std::optional<std::string> value; ///< New value; nothing deletes the row.
    ///
    /// The commit fails unless the row is at this revision; 0 means that the row never existed. A tombstone has its own revision, so that a late create
    /// cannot restore a deleted row.
    std::optional<std::uint64_t> expectedRevision;
};

/// \brief Outcome of a commit.
enum class CommitOutcome {
    Committed,
    Conflict, ///< A row is at another revision; nothing was written.
    Unknown, ///< The answer was lost, so the rows may have been written or not; read them again to find out.
    NotSent, ///< Nothing was written because of the budget, an outage or the deadline.
};

/// \brief Answer to a commit.
struct CommitAnswer
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    std::uint64_t revision = 0; ///< Revision of the table after a successful commit.
    std::vector<TableRow> current; ///< Current state of the rows that caused a conflict.
    std::string detail; ///< Description for logs, with step and peer.
};

/// \brief Interface to the platform's transactional table service.
class TableService
{
public:
    using RowsCallback = std::function<void(Core::Result<std::vector<TableRow>>)>;
    using CommitCallback = std::function<void(const CommitAnswer &)>;

    virtual ~TableService() = default;

    /// \brief Reads rows by key; rows that never existed are left out.
    virtual void get(const std::vector<std::string> &keys, Core::TimePoint deadline, RowsCallback done) = 0;

    /// \brief Reads the rows whose key starts with \a prefix and that changed after \a sinceRevision, by ascending revision, at most \a limit.
    virtual void scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit, Core::TimePoint deadline, RowsCallback done) = 0;

    /// \brief Writes all rows or none.
    virtual void commit(const std::vector<RowWrite> &writes, Core::TimePoint deadline, CommitCallback done) = 0;
};

} // namespace Verbena::Store
