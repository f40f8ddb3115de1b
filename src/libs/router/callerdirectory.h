#pragma once

#include <settings/inforcesettings.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Router {

/// \brief Finds the team that an API key belongs to. Only hashes of the keys are stored.
class CallerDirectory
{
public:
    /// \brief Replaces the keys by those of all teams in \a settings.
    void setSettings(std::shared_ptr<const Settings::InForceSettings> settings);

    /// \brief Returns the team for \a authorization, the value of the header field; null if the key is unknown.
    ///
    /// The pointer is valid until the next setSettings().
    const Settings::TeamSettings *find(const std::string &authorization) const;

private:
    struct Entry
    {
        std::string sha256;
        const Settings::TeamSettings *team = nullptr;
    };

    std::shared_ptr<const Settings::InForceSettings> m_settings;
    std::unordered_map<std::string, std::vector<Entry>> m_entries; ///< Entries by the first characters of the hash.
};

} // namespace Verbena::Router
