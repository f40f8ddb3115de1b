#pragma once

#include "rowcodec.h"

#include <settings/inforcesettings.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief The current state of a changed row.
struct ChangedRow
{
    std::string path;
    std::string content;
    std::uint64_t revision = 0;
    bool isDeleted = false;
};

/// \brief Builds the effective settings from rows, one revision after the other.
///
/// If a row cannot be decoded, its previous content stays in force. Teams of an organisation without a row are not in force.
class InForceBuilder
{
public:
    InForceBuilder();

    /// \brief Applies \a rows, the changes up to \a revision; returns the problems of those that were skipped.
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
