#pragma once

#include "changeplan.h"
#include "treetable.h"

#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief One change of one row, as its history tells it.
struct HistoryEntry
{
    std::string path;
    std::uint64_t revision = 0; ///< At which the change was accepted.
    std::string author;
    std::string changedAt; ///< UTC, for instance "2026-12-02T18:04:05Z".
    std::string changeId; ///< The same for all rows of one change.
    bool isDeleted = false;
    std::string content; ///< After the change.
};

/// \brief Who makes a change, and when.
struct ChangeStamp
{
    std::string author;
    Core::WallTime changedAt;
    std::string changeId; ///< Random, so that a change can be told from any other like it.
};

/// \brief The history of the tree's rows: the last changes of each, in a ring of rows beside it.
///
/// A change and its history are one commit, so that the revision of a history row is the revision of its change.
class ChangeHistory
{
public:
    static constexpr std::size_t entriesPerRow = 16;

    explicit ChangeHistory(TreeTable &table);

    /// \brief What is known of the row at \a path, oldest first. Errors: those of the table.
    Core::Result<std::vector<HistoryEntry>> entries(const std::string &path);

    /// \brief The write that records \a change in the oldest slot of its row. Errors: those of the table.
    Core::Result<Store::RowWrite> record(const RowChange &change, const ChangeStamp &stamp);

private:
    TreeTable &m_table;
};

} // namespace Verbena::Operator
