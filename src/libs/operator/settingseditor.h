#pragma once

#include "changehistory.h"
#include "operatoridentity.h"

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief How an attempt to change the tree ended.
enum class EditOutcome {
    Unchanged, ///< The tree holds all of it already.
    Applied,
    Conflict, ///< Somebody else changed the same rows first; nothing of this change was accepted.
    Unknown, ///< The table did not say whether it accepted the change, and could not be asked.
    NotSent, ///< The table could not be reached; nothing was changed.
};

/// \brief What became of a change, with a report for people.
struct EditResult
{
    EditOutcome outcome = EditOutcome::Unchanged;
    std::uint64_t revision = 0; ///< At which the change was accepted.
    std::string report;
};

/// \brief A change that has passed every check against one state of the tree.
struct CheckedChange
{
    std::vector<RowChange> changes;
    std::string description;
};

/// \brief Changes the settings tree by conditional commits, and says truly what happened.
class SettingsEditor
{
public:
    static constexpr std::size_t maximumChanges = 500; ///< Rows in one commit, without their history.

    SettingsEditor(TreeTable &table, const OperatorIdentity &identity);

    /// \brief Plans what makes the tree as \a desired, and checks the whole tree that follows and the operator's grants.
    ///
    /// With \a files their problems get file, line and key. Errors: those of the table, InvalidArgument, PermissionDenied.
    Core::Result<CheckedChange> check(const DesiredChange &desired, SettingsTree::TreeFiles *files);

    /// \brief Commits what check() let pass; \a stamp must carry a new change id.
    EditResult apply(const CheckedChange &change, const ChangeStamp &stamp);

private:
    Core::Result<std::vector<Store::RowWrite>> writesFor(const CheckedChange &change, const ChangeStamp &stamp);
    EditResult explainConflict(const CheckedChange &change, const ChangeStamp &stamp);
    std::string describeWinner(const RowChange &change, const Decisions::SettingsStore &current);

    TreeTable &m_table;
    ChangeHistory m_history;
    OperatorIdentity m_identity;
};

} // namespace Verbena::Operator
