#include "fleet.h"

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
    const auto found = settings.models.find(name.model);
    return {name.model, name.adapter, found == settings.models.end() ? std::string() : found->second.weightsVersion};
}

std::vector<Decisions::BackendServer> fleetOf(const Settings::InForceSettings &settings)
{
    std::vector<Decisions::BackendServer> fleet;
    fleet.reserve(settings.backendServers.size());
    for (const auto &[name, declared] : settings.backendServers) {
        Decisions::BackendServer server;
        server.id = Decisions::backendServerId(name);
        server.name = name;
        server.endpoint = declared.endpoint;
        server.failureDomain = declared.failureDomain;
        server.service = declared.service;
        server.state = declared.isDrained ? Decisions::BackendServerState::Leaving : Decisions::BackendServerState::Live;
        for (const std::string &model : declared.models) {
            server.served.push_back(versionInForce(ModelName::fromText(model), settings));
        }
        fleet.push_back(std::move(server));
    }
    return fleet;
}

} // namespace Verbena::Router
