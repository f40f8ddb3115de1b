#pragma once

#include "tableservice.h"

#include <core/result.h>
#include <core/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Store {

/// \brief Rows of a table at a revision, or those that changed since an earlier one.
struct RowPage
{
    std::vector<TableRow> rows;
    std::uint64_t revision = 0; ///< Revision of the store when the page was read.
    bool isHistoryLost = false; ///< Whether the changes are no longer available, so that the whole table has to be read.
    bool isFromPeer = false; ///< Whether another process answered because the store did not.
    std::optional<StoreTime> answeredAt = {}; ///< Store time of the store's own answer; nothing if another process answered.
    std::optional<StoreReading> clock = {}; ///< Reading of the store's clock from the process that answered; nothing if the TableFollower has to add it.
    std::optional<StoreTime> verifiedAt
        = {}; ///< In an answer of another process: time before which the page and the requester's rows include all acknowledged changes.
};

/// \brief Interface through which a process follows the tables of the platform's store.
class RowSource
{
public:
    using PageCallback = std::function<void(Core::Result<RowPage>)>;

    virtual ~RowSource() = default;

    /// \brief Reads all of \a table. Errors: DeadlineExceeded, Unavailable, InvalidArgument.
    virtual void readTable(const std::string &table, Core::TimePoint deadline, PageCallback done) = 0;

    /// \brief Reads the rows of \a table that changed after \a revision; waits for a change until \a waitEnd.
    virtual void awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done) = 0;
};

/// \brief Interface for reading and writing single rows of the project's own tables in the platform's store.
class RowStore
{
public:
    using RowCallback = std::function<void(Core::Result<std::optional<TableRow>>)>;
    using CommitCallback = std::function<void(const CommitAnswer &)>;

    virtual ~RowStore() = default;

    /// \brief Reads the row \a key; the result is empty if there is none. Errors: DeadlineExceeded, Unavailable, InvalidArgument.
    virtual void readRow(const std::string &table, const std::string &key, Core::TimePoint deadline, RowCallback done) = 0;

    /// \brief Writes all rows or none.
    virtual void commit(const std::string &table, const std::vector<RowWrite> &writes, Core::TimePoint deadline, CommitCallback done) = 0;
};

} // namespace Verbena::Store
