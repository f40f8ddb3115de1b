#include "agentsettings.h"

#include <settings/logsettings.h>
#include <settings/settingsreader.h>

namespace Verbena::Agent {

Core::Result<AgentSettings> AgentSettings::fromFile(const std::string &path)
{
    BOOST_OUTCOME_TRY(reader, Settings::SettingsReader::fromFile(path));
    return read(reader);
}

Core::Result<AgentSettings> AgentSettings::read(Settings::SettingsReader &reader)
{
    AgentSettings settings;
    settings.name = reader.requiredString("name");
    settings.log = Settings::readLogSettings(reader, settings.name);
    settings.endpoint = reader.requiredString("endpoint");
    settings.backendUrl = reader.requiredString("backend_url");
    BOOST_OUTCOME_TRY(reader.finish());
    return settings;
}

} // namespace Verbena::Agent
