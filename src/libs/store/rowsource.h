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

/// \brief Rows of one table as of one moment, or what changed since another.
struct RowPage
{
    std::vector<TableRow> rows;
    std::uint64_t revision = 0; ///< Of the store at that moment.
    bool isHistoryLost = false; ///< What changed is not known any more: read the whole table.
    bool isSecondHand = false; ///< Another process told it; the store itself did not answer.
    std::optional<StoreTime> saidAt = {}; ///< When the store itself said so; nothing if another process told it.
    std::optional<StoreReading> clock = {}; ///< Of the store's clock, from whoever answered; nothing if a TableFollower has to note it.
    std::optional<StoreTime> verifiedAt = {}; ///< From another process: all that the store acknowledged before is told, or was known to the asker.
};

/// \brief Lets a process follow the tables of the platform's store.
class RowSource
{
public:
    using PageCallback = std::function<void(Core::Result<RowPage>)>;

    virtual ~RowSource() = default;

    /// \brief Reads all of \a table. Errors: DeadlineExceeded, Unavailable, InvalidArgument.
    virtual void readTable(const std::string &table, Core::TimePoint deadline, PageCallback done) = 0;

    /// \brief Reads what changed in \a table after \a revision; waits for a change until \a waitEnd.
    virtual void awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done) = 0;
};

/// \brief Reads and writes single rows of the project's own tables in the platform's store.
class RowStore
{
public:
    using RowCallback = std::function<void(Core::Result<std::optional<TableRow>>)>;
    using CommitCallback = std::function<void(const CommitAnswer &)>;

    virtual ~RowStore() = default;

    /// \brief Reads the row \a key, or that there is none. Errors: DeadlineExceeded, Unavailable, InvalidArgument.
    virtual void readRow(const std::string &table, const std::string &key, Core::TimePoint deadline, RowCallback done) = 0;

    /// \brief Writes all rows or none.
    virtual void commit(const std::string &table, const std::vector<RowWrite> &writes, Core::TimePoint deadline, CommitCallback done) = 0;
};

} // namespace Verbena::Store
