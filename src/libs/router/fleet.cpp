#include "fleet.h"

#include <decisions/routing/declaredserver.h>

namespace Verbena::Router {

ModelName ModelName::fromText(const std::string &text)
{
    const std::size_t colon = text.find(':');
    return colon == std::string::npos ? ModelName{text, ""} : ModelName{text.substr(0, colon), text.substr(colon + 1)};
}

std::string ModelName::toText() const
{
    return adapter.empty() ? model : model + ':' + adapter;
}

Decisions::ModelVersion versionInForce(const ModelName &name, const Settings::InForceSettings &settings)
{
    return Decisions::declaredVersion(name.toText(), settings);
}

std::vector<Decisions::BackendServer> fleetOf(const Settings::InForceSettings &settings)
{
    std::vector<Decisions::BackendServer> fleet;
    fleet.reserve(settings.backendServers.size());
    for (const auto &[name, declared] : settings.backendServers) {
        Decisions::BackendServer server = Decisions::declaredServer(declared, settings);
        server.state = declared.isDrained ? Decisions::BackendServerState::Leaving : Decisions::BackendServerState::Live;
        fleet.push_back(std::move(server));
    }
    return fleet;
}

} // namespace Verbena::Router
