#include "inforcebuilder.h"

namespace Verbena::SettingsTree {

namespace {

using Settings::InForceSettings;
using Settings::OrganisationSettings;

OrganisationSettings copyOf(const std::map<std::string, std::shared_ptr<const OrganisationSettings>> &organisations, const std::string &name)
{
    const auto found = organisations.find(name);
    if (found != organisations.end()) {
        return *found->second;
    }
    OrganisationSettings organisation;
    organisation.name = name;
    return organisation;
}

} // namespace

InForceBuilder::InForceBuilder()
    : m_current(std::make_shared<const InForceSettings>())
{
}

std::vector<Core::Error> InForceBuilder::apply(const std::vector<ChangedRow> &rows, std::uint64_t revision)
{
    std::vector<Core::Error> errors;
    // Organisations are shared between the copies, so the cost of a change does not depend on the size of the tree.
    auto next = std::make_shared<InForceSettings>(*m_current);
    next->revision = revision;
    for (const ChangedRow &row : rows) {
        const Core::Result<TreePath> path = TreePath::fromString(row.path);
        if (!path) {
            errors.push_back(path.error());
            continue;
        }
        if (row.isDeleted) {
            applyDeletion(*next, path.value());
            continue;
        }
        const Core::Result<RowContent> content = decodeRow(path.value(), row.content);
        if (!content) {
            errors.push_back(content.error());
            continue;
        }
        applyRow(*next, path.value(), content.value());
    }
    m_current = std::move(next);
    return errors;
}

std::shared_ptr<const InForceSettings> InForceBuilder::current() const
{
    return m_current;
}

void InForceBuilder::applyRow(InForceSettings &next, const TreePath &path, const RowContent &content)
{
    if (const auto *model = std::get_if<Settings::ModelSettings>(&content)) {
        next.models[path.name] = *model;
    } else if (const auto *service = std::get_if<Settings::ServiceSettings>(&content)) {
        next.services[path.name] = *service;
    } else if (const auto *server = std::get_if<Settings::BackendServerSettings>(&content)) {
        next.backendServers[path.name] = *server;
    } else if (const auto *organisation = std::get_if<OrganisationRow>(&content)) {
        applyOrganisation(next.organisations, *organisation);
    } else if (const auto *team = std::get_if<Settings::TeamSettings>(&content)) {
        applyTeam(next.organisations.contains(team->organisation) ? next.organisations : m_undeclared, *team);
    }
}

void InForceBuilder::applyDeletion(InForceSettings &next, const TreePath &path)
{
    switch (path.kind) {
    case RowKind::Model:
        next.models.erase(path.name);
        break;
    case RowKind::Service:
        next.services.erase(path.name);
        break;
    case RowKind::BackendServer:
        next.backendServers.erase(path.name);
        break;
    case RowKind::Organisation:
        if (const auto node = next.organisations.extract(path.name); !node.empty() && !node.mapped()->teams.empty()) {
            m_undeclared[path.name] = node.mapped();
        }
        break;
    case RowKind::Team:
        deleteTeam(next.organisations.contains(path.organisation) ? next.organisations : m_undeclared, path);
        break;
    case RowKind::Operator:
        break;
    }
}

void InForceBuilder::applyOrganisation(OrganisationMap &organisations, const OrganisationRow &row)
{
    OrganisationSettings organisation = copyOf(organisations.contains(row.name) ? organisations : m_undeclared, row.name);
    organisation.share = row.share;
    m_undeclared.erase(row.name);
    organisations[row.name] = std::make_shared<const OrganisationSettings>(std::move(organisation));
}

void InForceBuilder::applyTeam(OrganisationMap &organisations, const Settings::TeamSettings &team)
{
    OrganisationSettings organisation = copyOf(organisations, team.organisation);
    organisation.teams[team.name] = team;
    organisations[team.organisation] = std::make_shared<const OrganisationSettings>(std::move(organisation));
}

void InForceBuilder::deleteTeam(OrganisationMap &organisations, const TreePath &path)
{
    const auto found = organisations.find(path.organisation);
    if (found == organisations.end() || !found->second->teams.contains(path.name)) {
        return;
    }
    OrganisationSettings organisation = *found->second;
    organisation.teams.erase(path.name);
    found->second = std::make_shared<const OrganisationSettings>(std::move(organisation));
}

} // namespace Verbena::SettingsTree
