#include "introspection.h"

#include "fleet.h"

#include <nlohmann/json.hpp>

namespace Verbena::Router {

namespace {

using nlohmann::json;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const char *originName(Decisions::CandidateOrigin origin)
{
    switch (origin) {
    case Decisions::CandidateOrigin::Holder:
        return "holder";
    case Decisions::CandidateOrigin::Home:
        return "home";
    case Decisions::CandidateOrigin::Spare:
        return "spare";
    case Decisions::CandidateOrigin::DeepHome:
        return "deep_home";
    case Decisions::CandidateOrigin::Load:
        return "load";
    }
    return "load";
}

} // namespace

std::string statusJson(const RouterStatus &status)
{
    return dump({{"name", status.name},
        {"incarnation", status.incarnation},
        {"ready", status.isReady},
        {"settings_revision", status.settingsRevision},
        {"settings", status.settingsJson.empty() ? json(nullptr) : json::parse(status.settingsJson, nullptr, false)},
        {"settings_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(status.settingsAge).count()},
        {"in_flight", status.inFlight},
        {"agent_links", status.agentLinks},
        {"agents_down", status.agentsDown},
        {"connections", status.connections}});
}

std::string modelsJson(const Settings::TeamSettings &team, const Settings::InForceSettings &inForce)
{
    json models = json::array();
    for (const std::string &name : team.models) {
        const auto found = inForce.models.find(ModelName::fromText(name).model);
        if (found != inForce.models.end()) {
            models.push_back({{"id", name}, {"object", "model"}, {"owned_by", "verbenaladder"}, {"weights_version", found->second.weightsVersion}});
        }
    }
    return dump({{"object", "list"}, {"data", models}});
}

std::string explanationJson(const RequestPlan &plan, const Decisions::RouteDecision &decision, const Decisions::RouteChooser &chooser)
{
    json candidates = json::array();
    for (const Decisions::RouteCandidate &candidate : decision.candidates) {
        const Decisions::BackendServer *server = chooser.server(candidate.id);
        candidates.push_back({{"backend_server", server == nullptr ? std::string() : server->name},
            {"origin", originName(candidate.origin)},
            {"warm_pieces", candidate.warmPieces},
            {"imported_pieces", candidate.importedPieces},
            {"wait_us", candidate.wait.count()},
            {"prefill_us", candidate.prefill.count()},
            {"import_us", candidate.import.count()},
            {"score", candidate.score}});
    }
    return dump({{"pieces", plan.query.keys.size()}, {"candidates", candidates}});
}

} // namespace Verbena::Router
