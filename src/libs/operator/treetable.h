#pragma once

#include <core/result.h>
#include <core/time.h>
#include <decisions/spread/settingsstore.h>
#include <store/tableservice.h>

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief Event loop of a blocking caller.
struct Waiting
{
    std::function<Core::TimePoint()> now;
    std::function<void(const bool &isDone)> waitUntil; ///< Runs the loop until the flag is true.
};

/// \brief Blocking interface to the table service for command line tools.
class TreeTable
{
public:
    /// \brief Each call takes at most \a timeout.
    TreeTable(Store::TableService &table, Waiting waiting, std::chrono::milliseconds timeout);

    /// \brief Reads a consistent snapshot of the whole settings tree. Errors: those of the table.
    Core::Result<Decisions::SettingsStore> readTree();

    /// \brief Reads the rows below \a prefix that changed after \a sinceRevision, in order of revision. Errors: those of the table.
    Core::Result<std::vector<Store::TableRow>> scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit);

    Store::CommitAnswer commit(const std::vector<Store::RowWrite> &writes);

private:
    Core::TimePoint deadline() const;

    Store::TableService &m_table;
    Waiting m_waiting;
    std::chrono::milliseconds m_timeout;
};

} // namespace Verbena::Operator
