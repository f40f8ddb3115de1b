#include "declaredserver.h"

namespace Verbena::Decisions {

BackendServer declaredServer(const Settings::BackendServerSettings &declared, const Settings::InForceSettings &settings)
{
    BackendServer server;
    server.id = backendServerId(declared.name);
    server.name = declared.name;
    server.endpoint = declared.endpoint;
    server.failureDomain = declared.failureDomain;
    server.service = declared.service;
    for (const std::string &model : declared.models) {
        server.served.insert(declaredVersion(model, settings));
    }
    return server;
}

ModelVersion declaredVersion(const std::string &name, const Settings::InForceSettings &settings)
{
    const std::size_t colon = name.find(':');
    ModelVersion version;
    version.model = name.substr(0, colon);
    version.adapter = colon == std::string::npos ? std::string() : name.substr(colon + 1);
    const auto model = settings.models.find(version.model);
    version.weightsVersion = model == settings.models.end() ? std::string() : model->second.weightsVersion;
    return version;
}

} // namespace Verbena::Decisions
