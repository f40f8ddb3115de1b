#include "routersettings.h"

#include <settings/logsettings.h>
#include <settings/settingsreader.h>

namespace Verbena::Router {

namespace {

using namespace std::chrono_literals;
using Settings::SettingsReader;

void readListen(SettingsReader listen, RouterSettings &settings)
{
    Http::HttpServerOptions &options = settings.listen;
    options.address = listen.string("address", "127.0.0.1");
    options.port = static_cast<std::uint16_t>(listen.integer("port", 0, 0, 65535));
    options.maximumBodyBytes = static_cast<std::size_t>(listen.integer("maximum_body_bytes", 8 << 20, 1024, 1 << 30));
    options.maximumHeaderBytes = static_cast<std::size_t>(listen.integer("maximum_header_bytes", 32 << 10, 4 << 10, 1 << 20));
    options.maximumConnections = static_cast<unsigned>(listen.integer("maximum_connections", 4096, 1, 1 << 20));
    options.idleTimeout = std::chrono::ceil<std::chrono::seconds>(listen.span("idle_timeout", 60s, 1s, 1h));
    settings.certificateFile = listen.string("certificate_file", "");
    settings.privateKeyFile = listen.string("private_key_file", "");
    if (settings.certificateFile.empty() != settings.privateKeyFile.empty()) {
        listen.addProblem("certificate_file", "A certificate needs a private key, and a private key needs a certificate.");
    }
}

void readRequests(SettingsReader requests, RequestSettings &settings)
{
    settings.defaultDeadline = requests.span("default_deadline", settings.defaultDeadline, 1ms, 24h);
    settings.maximumDeadline = requests.span("maximum_deadline", settings.maximumDeadline, 1ms, 24h);
    settings.maximumAttempts = static_cast<std::uint32_t>(requests.integer("maximum_attempts", settings.maximumAttempts, 1, 64));
    settings.defaultMark = static_cast<std::uint32_t>(requests.integer("default_mark", settings.defaultMark, 0, 1000));
    settings.retryFraction = requests.number("retry_fraction", settings.retryFraction, 0, 1);
    settings.retryCapacity = requests.number("retry_capacity", settings.retryCapacity, 0, 100000);
    settings.retryAtStart = requests.number("retry_at_start", settings.retryAtStart, 0, 100000);
}

void readStreams(SettingsReader streams, StreamSettings &settings)
{
    settings.frameCredit = static_cast<std::uint32_t>(streams.integer("frame_credit", settings.frameCredit, 2, 1 << 16));
    settings.maximumBufferedBytes = static_cast<std::size_t>(streams.integer("maximum_buffered_bytes", 256 << 10, 1024, 1 << 30));
    settings.maximumAnswerBytes = static_cast<std::size_t>(streams.integer("maximum_answer_bytes", 8 << 20, 1024, 1 << 30));
}

void readLinks(SettingsReader links, LinkSettings &settings)
{
    settings.connectTimeout = links.span("connect_timeout", settings.connectTimeout, 1ms, 1min);
    settings.heartbeatInterval = links.span("heartbeat_interval", settings.heartbeatInterval, 10ms, 1min);
    settings.heartbeatTimeout = links.span("heartbeat_timeout", settings.heartbeatTimeout, 20ms, 10min);
    settings.idleTimeout = links.span("idle_timeout", settings.idleTimeout, 100ms, 24h);
    settings.maximumOpen = static_cast<std::size_t>(links.integer("maximum_open", 512, 1, 100000));
    if (settings.heartbeatTimeout <= settings.heartbeatInterval) {
        links.addProblem("heartbeat_timeout", "It must be longer than the heartbeat interval.");
    }
}

void readShutdown(SettingsReader shutdown, RouterSettings &settings)
{
    settings.shutdownNotice = shutdown.span("notice", settings.shutdownNotice, 0ms, 10min);
    settings.shutdownGrace = shutdown.span("grace", settings.shutdownGrace, 1s, 24h);
    if (settings.shutdownNotice >= settings.shutdownGrace - lastAnswersTime) {
        shutdown.addProblem("notice",
            "It must be more than " + std::to_string(lastAnswersTime.count())
                + "ms shorter than shutdown.grace, as requests that are left are given up that long before its end.");
    }
}

} // namespace

Core::Result<RouterSettings> RouterSettings::fromFile(const std::string &path)
{
    VERBENA_TRY(reader, SettingsReader::fromFile(path));
    return read(reader);
}

Core::Result<RouterSettings> RouterSettings::read(SettingsReader &reader)
{
    RouterSettings settings;
    settings.name = reader.requiredString("name");
    settings.log = Settings::readLogSettings(reader, settings.name);
    settings.failureDomain = reader.string("failure_domain", "");
    settings.secretKeyFile = reader.section("security").string("secret_key_file", "");
    settings.platformUrl = reader.string("platform_url", "");
    for (SettingsReader &peer : reader.sections("settings_peers")) {
        settings.settingsPeers.push_back({peer.requiredString("name"), peer.requiredString("endpoint"), peer.string("agent_public_key", "")});
    }
    settings.treeFiles = reader.strings("settings_tree_files");
    if (!settings.platformUrl.empty() && !settings.treeFiles.empty()) {
        reader.addProblem("settings_tree_files", "The settings tree comes from files or from the platform, not from both.");
    }
    readListen(reader.section("listen"), settings);
    SettingsReader pieces = reader.section("pieces");
    settings.pieceBytes = static_cast<std::size_t>(pieces.integer("bytes", 8192, 64, 1 << 20));
    settings.pieceTokens = static_cast<std::size_t>(pieces.integer("tokens", 2048, 16, 1 << 18));
    readRequests(reader.section("requests"), settings.requests);
    readStreams(reader.section("streams"), settings.streams);
    readLinks(reader.section("links"), settings.links);
    readShutdown(reader.section("shutdown"), settings);
    settings.recomputationWeight = reader.section("routing").number("recomputation_weight", 0, 0, 1000);
    BOOST_OUTCOME_TRY(reader.finish());
    return settings;
}

} // namespace Verbena::Router
