#pragma once

#include "changehistory.h"
#include "operatoridentity.h"

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief The outcome of an attempt to change the tree.
enum class EditOutcome {
    Unchanged, ///< The tree has the requested state already.
    Applied,
    Conflict, ///< Another operator changed the same rows first; nothing of this change was accepted.
    Unknown, ///< It is not known whether the table accepted the change.
    NotSent, ///< The table could not be reached; nothing was changed.
};

/// \brief The result of a change, with a readable report.
struct EditResult
{
    EditOutcome outcome = EditOutcome::Unchanged;
    std::uint64_t revision = 0; ///< Revision at which the change was accepted.
    std::string report;
};

/// \brief A change that has passed all checks against one state of the tree.
struct CheckedChange
{
    std::vector<RowChange> changes;
    std::string description;
};

/// \brief Changes the settings tree by conditional commits and reports the outcome.
class SettingsEditor
{
public:
    static constexpr std::size_t maximumChanges = 500; ///< Maximum number of rows in one commit, without their history.

    SettingsEditor(TreeTable &table, const OperatorIdentity &identity);

    /// \brief Plans the changes that turn the tree into \a desired, and checks the resulting tree and the operator's grants.
    ///
    /// With \a files, problems contain file, line and key. Errors: those of the table, InvalidArgument, PermissionDenied.
    Core::Result<CheckedChange> check(const DesiredChange &desired, SettingsTree::TreeFiles *files);

    /// \brief Commits changes that passed check(); \a stamp must have a new change id.
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
