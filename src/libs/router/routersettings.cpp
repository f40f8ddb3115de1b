#include "routersettings.h"

#include <settings/logsettings.h>
#include <settings/settingsreader.h>

namespace Verbena::Router {

namespace {

using Settings::SettingsReader;

Decisions::BackendServer readBackendServer(SettingsReader reader)
{
    Decisions::BackendServer server;
    server.name = reader.requiredString("name");
    server.id = Decisions::backendServerId(server.name);
    server.endpoint = reader.requiredString("endpoint");
    server.failureDomain = reader.string("failure_domain", "");
    server.service = reader.string("service", "");
    for (SettingsReader &model : reader.sections("models")) {
        server.served.push_back({model.requiredString("model"), model.string("adapter", ""), model.string("weights_version", "")});
    }
    return server;
}

CallerKeySetting readCallerKey(SettingsReader reader)
{
    return {reader.requiredString("sha256"), reader.requiredString("organisation"), reader.requiredString("team")};
}

} // namespace

Core::Result<RouterSettings> RouterSettings::fromFile(const std::string &path)
{
    BOOST_OUTCOME_TRY(reader, SettingsReader::fromFile(path));
    return read(reader);
}

Core::Result<RouterSettings> RouterSettings::read(SettingsReader &reader)
{
    RouterSettings settings;
    settings.name = reader.requiredString("name");
    settings.log = Settings::readLogSettings(reader, settings.name);
    settings.failureDomain = reader.string("failure_domain", "");
    SettingsReader listen = reader.section("listen");
    settings.listen.address = listen.string("address", "127.0.0.1");
    settings.listen.port = static_cast<std::uint16_t>(listen.integer("port", 0, 0, 65535));
    SettingsReader pieces = reader.section("pieces");
    settings.pieceBytes = static_cast<std::size_t>(pieces.integer("bytes", 8192, 64, 1 << 20));
    settings.pieceTokens = static_cast<std::size_t>(pieces.integer("tokens", 2048, 16, 1 << 18));
    for (SettingsReader &key : reader.sections("caller_keys")) {
        settings.callerKeys.push_back(readCallerKey(key));
    }
    for (SettingsReader &server : reader.sections("backend_servers")) {
        settings.backendServers.push_back(readBackendServer(server));
    }
    BOOST_OUTCOME_TRY(reader.finish());
    return settings;
}

} // namespace Verbena::Router
