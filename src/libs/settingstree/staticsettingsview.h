#pragma once

#include <settings/inforcesettings.h>

#include <core/result.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief Settings from YAML files, for deployments and tests without a table service.
class StaticSettingsView : public Settings::SettingsView
{
public:
    /// \brief Reads a whole tree. Errors: NotFound, InvalidArgument, with file, line and key of every problem.
    static Core::Result<std::unique_ptr<StaticSettingsView>> fromFiles(const std::vector<std::string> &paths);

    std::shared_ptr<const Settings::InForceSettings> current() const override;
    void setChangedCallback(std::function<void()> callback) override;

    /// \brief Reads the files again; after an error the previous settings stay in force. Errors: those of fromFiles().
    Core::Result<void> reload();

private:
    explicit StaticSettingsView(std::vector<std::string> paths);

    std::vector<std::string> m_paths;
    std::shared_ptr<const Settings::InForceSettings> m_current;
    std::function<void()> m_changedCallback;
};

} // namespace Verbena::SettingsTree
