#pragma once

#include "tableservice.h"

#include <core/result.h>
#include <core/time.h>

#include <cstdint>
#include <functional>
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

/// \brief Gives numbers for fences: each is above all that were given before, to anyone.
class FenceSource
{
public:
    using NumberCallback = std::function<void(Core::Result<std::uint64_t>)>;

    virtual ~FenceSource() = default;
    virtual void drawNumber(Core::TimePoint deadline, NumberCallback done) = 0;
};

} // namespace Verbena::Store
