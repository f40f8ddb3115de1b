#pragma once

#include "rowcodec.h"

#include <settings/inforcesettings.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief A row that changed, as its process holds it now.
struct ChangedRow
{
    std::string path;
    std::string content;
    std::uint64_t revision = 0;
    bool isDeleted = false;
};

/// \brief Turns rows into what is in force, one step of the tree's history at a time.
///
/// A row that cannot be decoded leaves what was in force of it. Teams of an organisation that has no row are not in force.
class InForceBuilder
{
public:
    InForceBuilder();

    /// \brief Takes \a rows, which together lead to \a revision; returns what was wrong with those passed over.
    std::vector<Core::Error> apply(const std::vector<ChangedRow> &rows, std::uint64_t revision);

    std::shared_ptr<const Settings::InForceSettings> current() const;

private:
    using OrganisationMap = std::map<std::string, std::shared_ptr<const Settings::OrganisationSettings>>;

    void applyRow(Settings::InForceSettings &next, const TreePath &path, const RowContent &content);
    void applyDeletion(Settings::InForceSettings &next, const TreePath &path);
    void applyOrganisation(OrganisationMap &organisations, const OrganisationRow &row);
    void applyTeam(OrganisationMap &organisations, const Settings::TeamSettings &team);
    void deleteTeam(OrganisationMap &organisations, const TreePath &path);

    std::shared_ptr<const Settings::InForceSettings> m_current;
    OrganisationMap m_undeclared; ///< Teams whose organisation has no row.
};

} // namespace Verbena::SettingsTree
