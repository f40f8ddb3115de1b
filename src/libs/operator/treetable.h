#pragma once

#include <core/result.h>
#include <core/time.h>
#include <decisions/spread/settingsstore.h>
#include <store/tableservice.h>

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief How a caller that has nothing else to do waits for the platform.
struct Waiting
{
    std::function<Core::TimePoint()> now;
    std::function<void(const bool &isDone)> waitUntil; ///< Returns once the flag is true.
};

/// \brief The table service for a tool that takes one step after the other: calls return with the answer.
class TreeTable
{
public:
    /// \brief \a timeout bounds each call.
    TreeTable(Store::TableService &table, Waiting waiting, std::chrono::milliseconds timeout);

    /// \brief The whole settings tree at one moment. Errors: those of the table.
    Core::Result<Decisions::SettingsStore> readTree();

    /// \brief The rows below \a prefix that changed after \a sinceRevision, by rising revision. Errors: those of the table.
    Core::Result<std::vector<Store::TableRow>> scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit);

    Store::CommitAnswer commit(const std::vector<Store::RowWrite> &writes);

private:
    Core::TimePoint deadline() const;

    Store::TableService &m_table;
    Waiting m_waiting;
    std::chrono::milliseconds m_timeout;
};

} // namespace Verbena::Operator
