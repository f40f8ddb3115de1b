#include "treetext.h"

#include <settingstree/treepath.h>

#include <nlohmann/json.hpp>

#include <map>

namespace Verbena::Operator {

namespace {

using SettingsTree::RowKind;

struct OrganisationText
{
    std::string ownKeys;
    std::map<std::string, std::string> teams;
};

const char *sectionOf(RowKind kind)
{
    switch (kind) {
    case RowKind::Model:
        return "models";
    case RowKind::Service:
        return "services";
    case RowKind::BackendServer:
        return "backend_servers";
    case RowKind::Operator:
        return "operators";
    case RowKind::Organisation:
    case RowKind::Team:
        return "organisations";
    }
    return "";
}

// Returns the keys of the mapping in a row, one per line.
std::string ownKeysOf(const std::string &content)
{
    std::string text;
    const auto json = nlohmann::json::parse(content, nullptr, false);
    if (json.is_object()) {
        for (const auto &[key, value] : json.items()) {
            text.append("    ").append(key).append(": ").append(value.dump()).append("\n");
        }
    }
    return text;
}

std::string renderOrganisations(const std::map<std::string, OrganisationText> &organisations)
{
    std::string text;
    for (const auto &[name, organisation] : organisations) {
        text.append("  ").append(name).append(":\n").append(organisation.ownKeys);
        if (!organisation.teams.empty()) {
            text += "    teams:\n";
        }
        for (const auto &[team, content] : organisation.teams) {
            text.append("      ").append(team).append(": ").append(content).append("\n");
        }
    }
    return text;
}

} // namespace

std::string renderTree(const Decisions::SettingsStore &store, const std::string &subtree)
{
    std::map<std::string, std::string> sections;
    std::map<std::string, OrganisationText> organisations;
    for (const Decisions::SettingsRow &row : store.everything().rows) {
        const auto path = SettingsTree::TreePath::fromString(row.path);
        if (row.isDeleted || !path || !(subtree.empty() || SettingsTree::isWithin(row.path, subtree))) {
            continue;
        }
        if (path.value().kind == RowKind::Organisation) {
            organisations[path.value().name].ownKeys = ownKeysOf(row.content);
        } else if (path.value().kind == RowKind::Team) {
            organisations[path.value().organisation].teams[path.value().name] = row.content;
        } else {
            sections[sectionOf(path.value().kind)].append("  ").append(path.value().name).append(": ").append(row.content).append("\n");
        }
    }
    if (!organisations.empty()) {
        sections[sectionOf(RowKind::Organisation)] = renderOrganisations(organisations);
    }
    std::string text;
    for (const auto &[name, rows] : sections) {
        text.append(name).append(":\n").append(rows);
    }
    return text;
}

} // namespace Verbena::Operator
