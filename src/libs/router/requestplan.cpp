#include "requestplan.h"

#include "fleet.h"
#include "routersettings.h"

#include <decisions/routing/prefixchain.h>

#include <sodium.h>

#include <algorithm>
#include <array>

namespace Verbena::Router {

namespace {

constexpr std::size_t requestIdBytes = 16;
constexpr std::size_t bytesPerToken = 4;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

RequestPlan commonPlan(const RequestOptions &options, const Settings::TeamSettings &team, const RouterSettings &settings)
{
    RequestPlan plan;
    plan.id = newRequestId();
    plan.deadline = options.deadline;
    plan.mark = options.mark;
    plan.tenant = {team.organisation, options.requestClass};
    plan.policy.isIdempotent = options.isIdempotent;
    plan.policy.maximumAttempts = settings.requests.maximumAttempts;
    if (!options.isIdempotent && !options.idempotencyKey.empty()) {
        plan.claim = Claim{team.organisation, team.name, options.idempotencyKey, plan.id};
    }
    verbena::wire::Dispatch &dispatch = *plan.envelope.mutable_dispatch();
    dispatch.set_request(plan.id);
    dispatch.set_organisation(team.organisation);
    dispatch.set_team(team.name);
    dispatch.set_request_class(options.requestClass);
    dispatch.set_mark(options.mark);
    dispatch.set_idempotent(options.isIdempotent);
    dispatch.set_frame_credit(settings.streams.frameCredit);
    return plan;
}

Decisions::PrefixChain chainOf(const CallerRequest &request, const Decisions::PrefixScope &scope, const RouterSettings &settings)
{
    return request.promptTokens.empty() ? Decisions::PrefixChain::fromText(scope, request.promptText, settings.pieceBytes)
                                        : Decisions::PrefixChain::fromTokens(scope, request.promptTokens, settings.pieceTokens);
}

std::size_t promptTokensOf(const CallerRequest &request)
{
    return request.promptTokens.empty() ? request.promptText.size() / bytesPerToken + 1 : request.promptTokens.size();
}

} // namespace

Core::Result<RequestPlan> RequestPlan::forCompletion(const CallerRequest &request,
    const RequestOptions &options,
    const Settings::TeamSettings &team,
    const Settings::InForceSettings &inForce,
    const RouterSettings &settings)
{
    const ModelName name = ModelName::fromText(request.model);
    if (!contains(team.models, request.model) || !inForce.models.contains(name.model)) {
        return Core::Error{Core::ErrorCode::NotFound, "router.model", request.model, "This model does not exist, or the team may not call it."};
    }
    RequestPlan plan = commonPlan(options, team, settings);
    plan.policy.maximumTokens = request.maximumTokens;
    plan.query.version = versionInForce(name, inForce);
    const Decisions::PrefixChain chain = chainOf(request, {team.organisation, plan.query.version}, settings);
    plan.query.keys = chain.keys();
    plan.query.root = chain.root();
    verbena::wire::Dispatch &dispatch = *plan.envelope.mutable_dispatch();
    dispatch.set_kind(verbena::wire::RUN_KIND_COMPLETION);
    dispatch.set_model(name.model);
    dispatch.set_adapter(name.adapter);
    dispatch.set_weights_version(plan.query.version.weightsVersion);
    dispatch.set_prompt_tokens(static_cast<std::uint32_t>(promptTokensOf(request)));
    dispatch.set_maximum_tokens(request.maximumTokens);
    dispatch.set_path("/v1/completions");
    dispatch.set_body(request.engineBody);
    for (const Decisions::PrefixKey key : plan.query.keys) {
        dispatch.add_prefix_keys(static_cast<std::uint64_t>(key));
    }
    return plan;
}

Core::Result<RequestPlan> RequestPlan::forServiceCall(const std::string &service,
    const std::string &call,
    const std::string &body,
    const RequestOptions &options,
    const Settings::TeamSettings &team,
    const Settings::InForceSettings &inForce,
    const RouterSettings &settings)
{
    const auto declared = inForce.services.find(service);
    if (declared == inForce.services.end() || !contains(team.services, service)) {
        return Core::Error{Core::ErrorCode::NotFound, "router.service", service, "This service does not exist, or the team may not call it."};
    }
    RequestOptions effective = options;
    effective.isIdempotent = options.isIdempotent && !contains(declared->second.nonIdempotentCalls, call);
    RequestPlan plan = commonPlan(effective, team, settings);
    plan.policy.isResumable = false;
    plan.query.service = service;
    // Services cache no prefixes, so the root is computed from the request id, which spreads the calls over the servers.
    plan.query.root = Decisions::PrefixChain::fromText({plan.id, {}}, {}, settings.pieceBytes).root();
    verbena::wire::Dispatch &dispatch = *plan.envelope.mutable_dispatch();
    dispatch.set_kind(verbena::wire::RUN_KIND_SERVICE_CALL);
    dispatch.set_path('/' + call);
    dispatch.set_body(body);
    return plan;
}

std::string newRequestId()
{
    std::array<unsigned char, requestIdBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 2 * requestIdBytes + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    return hex.data();
}

} // namespace Verbena::Router
