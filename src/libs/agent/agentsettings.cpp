#include "agentsettings.h"

#include <settings/logsettings.h>
#include <settings/settingsreader.h>

namespace Verbena::Agent {

namespace {

using namespace std::chrono_literals;
using Settings::SettingsReader;

void readBackend(SettingsReader reader, BackendWatchOptions &backend)
{
    backend.loadInterval = reader.span("load_interval", backend.loadInterval, 1ms, 60s);
    backend.hangTimeout = reader.span("hang_timeout", backend.hangTimeout, 50ms, 600s);
    backend.eventsInterval = reader.span("events_interval", backend.eventsInterval, 1ms, 60s);
}

void readLimits(SettingsReader reader, RunManagerOptions &runs)
{
    Decisions::AdmissionGateOptions &gate = runs.gate;
    gate.maximumQueued = static_cast<std::size_t>(reader.integer("queued", 1024, 1, 1000000));
    gate.maximumRunning = static_cast<std::uint32_t>(reader.integer("running", 256, 1, 100000));
    runs.maximumBodyBytes = static_cast<std::size_t>(reader.integer("body_megabytes", 256, 1, 65536)) * 1024 * 1024;
    const auto ahead = reader.span("prefill_ahead", gate.maximumPrefillAhead, 1ms, 600s);
    gate.maximumPrefillAhead = std::chrono::duration_cast<std::chrono::milliseconds>(ahead);
}

void readCost(SettingsReader reader, Decisions::CostModelOptions &cost)
{
    cost.pieceTokens = static_cast<std::uint32_t>(reader.integer("piece_tokens", cost.pieceTokens, 16, 1 << 18));
    cost.initialPrefillPerPiece = reader.span("prefill_per_piece", cost.initialPrefillPerPiece, 1us, 600s);
    cost.initialTokenInterval = reader.span("token_interval", cost.initialTokenInterval, 1us, 10s);
}

void readSecurity(SettingsReader reader, AgentSecurity &security)
{
    security.secretKeyFile = reader.string("secret_key_file", "");
    security.allowedKeysFile = reader.string("allowed_keys_file", "");
    if (security.secretKeyFile.empty() != security.allowedKeysFile.empty()) {
        reader.addProblem("allowed_keys_file", "The secret key and the allowed keys are needed together.");
    }
}

} // namespace

Core::Result<AgentSettings> AgentSettings::fromFile(const std::string &path)
{
    VERBENA_TRY(reader, SettingsReader::fromFile(path));
    return read(reader);
}

Core::Result<AgentSettings> AgentSettings::read(SettingsReader &reader)
{
    AgentSettings settings;
    settings.name = reader.requiredString("name");
    settings.log = Settings::readLogSettings(reader, settings.name);
    settings.endpoint = reader.requiredString("endpoint");
    settings.backend.url = reader.requiredString("backend_url");
    settings.kind = reader.choice("kind", "engine", {"engine", "service"}) == "service" ? BackendKind::Service : BackendKind::Engine;
    readBackend(reader.section("watch"), settings.backend);
    readLimits(reader.section("limits"), settings.runs);
    readCost(reader.section("first_cost"), settings.runs.gate.cost);
    readSecurity(reader.section("security"), settings.security);
    settings.platformUrl = reader.string("platform_url", "");
    settings.treeFiles = reader.strings("settings_tree_files");
    if (!settings.platformUrl.empty() && !settings.treeFiles.empty()) {
        reader.addProblem("settings_tree_files", "The settings tree comes from files or from the platform, not from both.");
    }
    settings.leaveGrace = reader.span("leave_grace", 1s, 0us, 600s);
    settings.leaveTimeout = reader.span("leave_timeout", 80s, 10ms, 24h);
    if (reader.has("status")) {
        SettingsReader status = reader.section("status");
        settings.status = StatusListen{status.string("address", "127.0.0.1"), static_cast<std::uint16_t>(status.integer("port", 0, 0, 65535))};
    }
    BOOST_OUTCOME_TRY(reader.finish());
    return settings;
}

} // namespace Verbena::Agent
