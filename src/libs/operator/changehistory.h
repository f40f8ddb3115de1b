#pragma once

#include "changeplan.h"
#include "treetable.h"

#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief A recorded change of one row.
struct HistoryEntry
{
    std::string path;
    std::uint64_t revision = 0; ///< Revision at which the change was accepted.
    std::string author;
    std::string changedAt; ///< UTC, for instance "2026-12-02T18:04:05Z".
    std::string changeId; ///< Id that all rows of one change share.
    bool isDeleted = false;
    std::string content; ///< Content after the change.
};

/// \brief Author, time and id of a change.
struct ChangeStamp
{
    std::string author;
    Core::WallTime changedAt;
    std::string changeId; ///< Random id that distinguishes the change from others with the same content.
};

/// \brief The last changes of each row of the settings tree, in a ring of history rows per row.
///
/// A change and its history are written in one commit, so the revision of a history row is the revision of its change.
class ChangeHistory
{
public:
    static constexpr std::size_t entriesPerRow = 16;

    explicit ChangeHistory(TreeTable &table);

    /// \brief Returns the recorded changes of the row at \a path, oldest first. Errors: those of the table.
    Core::Result<std::vector<HistoryEntry>> entries(const std::string &path);

    /// \brief Returns the write that records \a change in the oldest slot of its row. Errors: those of the table.
    Core::Result<Store::RowWrite> record(const RowChange &change, const ChangeStamp &stamp);

private:
    TreeTable &m_table;
};

} // namespace Verbena::Operator
