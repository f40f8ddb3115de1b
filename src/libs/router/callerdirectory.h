#pragma once

#include <settings/inforcesettings.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Router {

/// \brief Finds the team that a caller's key stands for. Only hashes of keys are known.
class CallerDirectory
{
public:
    /// \brief Takes the keys of all teams in force.
    void setSettings(std::shared_ptr<const Settings::InForceSettings> settings);

    /// \brief The team that \a authorization, the value of the header field, stands for; null if the key is not known.
    ///
    /// Valid until the next setSettings().
    const Settings::TeamSettings *find(const std::string &authorization) const;

private:
    struct Entry
    {
        std::string sha256;
        const Settings::TeamSettings *team = nullptr;
    };

    std::shared_ptr<const Settings::InForceSettings> m_settings;
    std::unordered_map<std::string, std::vector<Entry>> m_entries; ///< By the first characters of the hash.
};

} // namespace Verbena::Router
