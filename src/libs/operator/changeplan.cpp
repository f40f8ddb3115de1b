#include "changeplan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Verbena::Operator {

namespace {

using Json = nlohmann::json;

bool isPruned(const std::string &path, const DesiredChange &desired)
{
    return !desired.rows.contains(path)
        && std::ranges::any_of(desired.prunedSubtrees, [&path](const std::string &subtree) { return SettingsTree::isWithin(path, subtree); });
}

std::string shown(const Json &object, const std::string &key)
{
    return object.is_object() && object.contains(key) ? object.at(key).dump() : "none";
}

// Returns lines for the keys whose values differ.
std::string describeKeys(const Json &before, const Json &after)
{
    std::set<std::string> keys;
    for (const Json *side : {&before, &after}) {
        if (side->is_object()) {
            for (const auto &item : side->items()) {
                keys.insert(item.key());
            }
        }
    }
    std::string text;
    for (const std::string &key : keys) {
        const std::string left = shown(before, key);
        const std::string right = shown(after, key);
        if (left != right) {
            text.append("    ").append(key).append(": ").append(left).append(" -> ").append(right).append("\n");
        }
    }
    return text;
}

std::string describeChange(const RowChange &change)
{
    if (!change.after.has_value()) {
        return "- " + change.path + "\n";
    }
    if (!change.before.has_value()) {
        return "+ " + change.path + "\n    " + *change.after + "\n";
    }
    return "~ " + change.path + "\n" + describeKeys(Json::parse(*change.before, nullptr, false), Json::parse(*change.after, nullptr, false));
}

} // namespace

std::vector<RowChange> planChanges(const Decisions::SettingsStore &current, const DesiredChange &desired)
{
    std::vector<RowChange> changes;
    for (const auto &[path, content] : desired.rows) {
        const auto row = current.row(path);
        RowChange change{path, std::nullopt, SettingsTree::encodeRow(content), row.has_value() ? row->revision : 0};
        if (row.has_value() && !row->isDeleted) {
            change.before = row->content;
        }
        if (change.before != change.after) {
            changes.push_back(std::move(change));
        }
    }
    for (const Decisions::SettingsRow &row : current.everything().rows) {
        if (!row.isDeleted && isPruned(row.path, desired)) {
            changes.push_back({row.path, row.content, std::nullopt, row.revision});
        }
    }
    std::ranges::sort(changes, {}, &RowChange::path);
    return changes;
}

Core::Result<SettingsTree::Tree> treeAfter(const Decisions::SettingsStore &current, const std::vector<RowChange> &changes)
{
    std::map<std::string, std::string> contents;
    for (const Decisions::SettingsRow &row : current.everything().rows) {
        if (!row.isDeleted) {
            contents[row.path] = row.content;
        }
    }
    for (const RowChange &change : changes) {
        if (change.after.has_value()) {
            contents[change.path] = *change.after;
        } else {
            contents.erase(change.path);
        }
    }
    SettingsTree::Tree tree;
    for (const auto &[key, content] : contents) {
        VERBENA_TRY(path, SettingsTree::TreePath::fromString(key));
        VERBENA_TRY(decoded, SettingsTree::decodeRow(path, content));
        tree.emplace(key, std::move(decoded));
    }
    return tree;
}

std::string describeChanges(const std::vector<RowChange> &changes)
{
    std::string text;
    for (const RowChange &change : changes) {
        text += describeChange(change);
    }
    return text;
}

} // namespace Verbena::Operator
