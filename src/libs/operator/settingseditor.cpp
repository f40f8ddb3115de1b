#include "settingseditor.h"

#include <algorithm>

namespace Verbena::Operator {

namespace {

// The commit is idempotent: its conditions fail once it has taken effect or another commit was first. That also keeps a delayed copy of it from taking effect
// later.
constexpr int maximumCommits = 4;

Core::Error tooLarge(std::size_t count)
{
    return {Core::ErrorCode::ResourceExhausted,
        "settings.apply",
        "",
        "The change has " + std::to_string(count) + " rows; one commit takes " + std::to_string(SettingsEditor::maximumChanges) + ". Apply it in parts."};
}

bool holds(const Decisions::SettingsStore &current, const RowChange &change)
{
    const auto row = current.row(change.path);
    const bool exists = row.has_value() && !row->isDeleted;
    return change.after.has_value() ? exists && row->content == *change.after : !exists;
}

} // namespace

SettingsEditor::SettingsEditor(TreeTable &table, const OperatorIdentity &identity)
    : m_table(table)
    , m_history(table)
    , m_identity(identity)
{
}

Core::Result<CheckedChange> SettingsEditor::check(const DesiredChange &desired, SettingsTree::TreeFiles *files)
{
    VERBENA_TRY(current, m_table.readTree());
    CheckedChange change;
    change.changes = planChanges(current, desired);
    VERBENA_TRY(whole, treeAfter(current, change.changes));
    if (files != nullptr) {
        BOOST_OUTCOME_TRY(files->checkWhole(whole));
    } else {
        SettingsTree::TreeFiles none;
        BOOST_OUTCOME_TRY(none.checkWhole(whole));
    }
    BOOST_OUTCOME_TRY(checkGrants(current, m_identity, change.changes));
    if (change.changes.size() > maximumChanges) {
        return tooLarge(change.changes.size());
    }
    change.description = describeChanges(change.changes);
    return change;
}

EditResult SettingsEditor::apply(const CheckedChange &change, const ChangeStamp &stamp)
{
    if (change.changes.empty()) {
        return {EditOutcome::Unchanged, 0, "Nothing to change: the tree holds all of it already."};
    }
    const auto writes = writesFor(change, stamp);
    if (!writes) {
        return {EditOutcome::NotSent, 0, "Nothing was changed: " + writes.error().toString()};
    }
    bool mayHaveTakenEffect = false;
    Store::CommitAnswer answer;
    for (int i = 0; i < maximumCommits; ++i) {
        answer = m_table.commit(writes.value());
        if (answer.outcome == Store::CommitOutcome::Committed) {
            return {EditOutcome::Applied, answer.revision, "Accepted at revision " + std::to_string(answer.revision) + "."};
        }
        if (answer.outcome == Store::CommitOutcome::Conflict) {
            return explainConflict(change, stamp);
        }
        mayHaveTakenEffect = mayHaveTakenEffect || answer.outcome == Store::CommitOutcome::Unknown;
    }
    if (mayHaveTakenEffect) {
        return {EditOutcome::Unknown,
            0,
            "It is not known whether the change was accepted: " + answer.detail
                + " Run the same command again once the table answers; it is safe and will tell."};
    }
    return {EditOutcome::NotSent, 0, "Nothing was changed: " + answer.detail};
}

Core::Result<std::vector<Store::RowWrite>> SettingsEditor::writesFor(const CheckedChange &change, const ChangeStamp &stamp)
{
    std::vector<Store::RowWrite> writes;
    for (const RowChange &row : change.changes) {
        writes.push_back({row.path, row.after, row.expectedRevision});
        VERBENA_TRY(record, m_history.record(row, stamp));
        writes.push_back(std::move(record));
    }
    return writes;
}

// A conflict after a lost answer may be with this change itself, which the history shows.
EditResult SettingsEditor::explainConflict(const CheckedChange &change, const ChangeStamp &stamp)
{
    const auto own = m_history.entries(change.changes.front().path);
    if (!own) {
        return {EditOutcome::Unknown, 0, "It is not known whether the change was accepted: " + own.error().toString()};
    }
    for (const HistoryEntry &entry : own.value()) {
        if (entry.changeId == stamp.changeId) {
            return {EditOutcome::Applied, entry.revision, "Accepted at revision " + std::to_string(entry.revision) + "; the first answer was lost."};
        }
    }
    const auto current = m_table.readTree();
    if (!current) {
        return {EditOutcome::Conflict, 0, "Somebody else changed the same rows first; nothing of this change was accepted. " + current.error().toString()};
    }
    std::string report = "Somebody else changed the same rows first; nothing of this change was accepted.\n";
    for (const RowChange &row : change.changes) {
        report += describeWinner(row, current.value());
    }
    return {EditOutcome::Conflict, 0, report};
}

std::string SettingsEditor::describeWinner(const RowChange &change, const Decisions::SettingsStore &current)
{
    const auto row = current.row(change.path);
    if (!row.has_value() || row->revision == change.expectedRevision) {
        return {};
    }
    std::string winner = "somebody who left no history";
    const auto entries = m_history.entries(change.path);
    if (entries && !entries.value().empty() && entries.value().back().revision == row->revision) {
        winner = entries.value().back().author + " at " + entries.value().back().changedAt;
    }
    std::string text = change.path + " was changed by " + winner + ", revision " + std::to_string(row->revision) + ".\n";
    if (holds(current, change)) {
        return text + "  It holds what you want already.\n";
    }
    const std::optional<std::string> theirs = row->isDeleted ? std::nullopt : std::optional<std::string>(row->content);
    return text + "  From theirs to yours:\n" + describeChanges({{change.path, theirs, change.after, row->revision}});
}

} // namespace Verbena::Operator
