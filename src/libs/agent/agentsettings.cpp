#include "agentsettings.h"

#include <settings/settingsreader.h>

namespace Verbena::Agent {

Core::Result<AgentSettings> AgentSettings::fromFile(const std::string &path)
{
    BOOST_OUTCOME_TRY(reader, Settings::SettingsReader::fromFile(path));
    AgentSettings settings;
    settings.name = reader.requiredString("name");
    settings.endpoint = reader.requiredString("endpoint");
    settings.backendUrl = reader.requiredString("backend_url");
    BOOST_OUTCOME_TRY(reader.finish());
    return settings;
}

} // namespace Verbena::Agent
