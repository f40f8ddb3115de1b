#include "relayfleet.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Of a plain call until it is answered; plain services are compared with each other only, so any figure does.
constexpr milliseconds plainWork{50};

// Tokens that an engine reads in a millisecond, for the weight of a prompt against the wait at an engine: between the slowest and the fastest engines
// of the known deployments (32 and 92).
constexpr std::uint32_t tokensPerMillisecond = 50;

// Without new work after a connection that failed: as long as a quick restart takes.
constexpr milliseconds unreachablePause{1000};

// Without new work after a refusal: some answers later it has room again.
constexpr milliseconds fullPause{100};

// News come several times a second; without any for so long the agent counts as silent.
constexpr milliseconds statusLifetime{1500};

// An engine that is about to load weights first finishes what it runs. To keep that short, requests that would still run by then go elsewhere: a step
// makes a token for each request and takes 4 to 10 ms in the known deployments, and a prompt is read in some tenths of a second.
constexpr milliseconds timePerToken{6};
constexpr milliseconds readTime{250};
constexpr milliseconds longestForesight{1500};

// Of an engine, until a request that comes begins to be read: for each that waits, and for each that runs and shares its steps.
constexpr milliseconds waitPerWaiting{40};
constexpr milliseconds waitPerRunning{2};

// The pool of one model at one service; services may serve models of the same name.
std::string poolName(const std::string &service, const std::string &model)
{
    return service + '/' + model;
}

// Weights stand in the scope, so that no part that was made on others can match, and so does the organisation where it shares nothing.
std::string cacheScope(const FleetQuery &query, std::uint64_t version)
{
    return query.prompt->model + '@' + std::to_string(version) + (query.dedicatedTo.empty() ? "" : '/' + query.dedicatedTo);
}

PrefixKey chain(PrefixKey before, const std::string &id)
{
    return PrefixKey(XXH3_64bits_withSeed(id.data(), id.size(), static_cast<std::uint64_t>(before)));
}

} // namespace

RelayFleet::RelayFleet(const RoutingOptions &routing, const WeightsLimits &weights)
    : m_chooser(routing)
    , m_weightsLimits(weights)
{
}

ServerRegister &RelayFleet::servers()
{
    return m_register;
}

bool RelayFleet::hasServers() const
{
    return !m_register.servers().empty();
}

bool RelayFleet::noteWeightsNamed(const std::string &model, std::uint64_t version, Core::TimePoint now)
{
    return m_weights[model].note(version, now);
}

std::uint64_t RelayFleet::newestWeights(const std::string &model) const
{
    const auto found = m_weights.find(model);
    return found == m_weights.end() ? 0 : found->second.newest();
}

void RelayFleet::followRegister()
{
    if (m_followedRevision == m_register.revision()) {
        return;
    }
    m_followedRevision = m_register.revision();
    m_versions.clear();
    m_idsByAddress.clear();
    std::vector<BackendServer> fleet;
    for (const auto &[id, registered] : m_register.servers()) {
        if (!registered.weights.empty()) {
            m_idsByAddress[registered.address] = id;
        }
        if (registered.isLeaving) {
            continue;
        }
        BackendServer server;
        server.id = backendServerId(id);
        server.name = id;
        server.endpoint = registered.address;
        server.failureDomain = registered.failureDomain;
        for (const ServedWeights &weights : registered.weights) {
            server.served.push_back({poolName(registered.service, weights.model), "", std::to_string(weights.version)});
            ++m_versions[{registered.service, weights.model}][weights.version];
        }
        if (registered.weights.empty()) {
            server.service = registered.service;
        }
        fleet.push_back(std::move(server));
    }
    m_chooser.setFleet(std::move(fleet));
}

void RelayFleet::noteStatus(const std::string &address, const EngineStatus &status, Core::TimePoint now)
{
    followRegister();
    const auto id = m_idsByAddress.find(address);
    if (id == m_idsByAddress.end()) {
        return;
    }
    const BackendServerId key = backendServerId(id->second);
    m_heard[key] = {status, now + statusLifetime};
    for (const ServedWeights &weights : status.weights) {
        m_register.noteWeights(id->second, weights.model, weights.version);
    }
    LoadReport report;
    report.running = status.running;
    report.queued = status.waiting;
    report.queuedWork = status.waiting * waitPerWaiting + status.running * waitPerRunning;
    m_chooser.noteLoad(key, report, now);
}

std::vector<std::string> RelayFleet::engineAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[id, server] : m_register.servers()) {
        if (!server.weights.empty()) {
            addresses.push_back(server.address);
        }
    }
    return addresses;
}

bool RelayFleet::isBusyWithWeights(const Heard &heard, const FleetQuery &query, Core::TimePoint now) const
{
    if (now >= heard.deadline) {
        return false;
    }
    const milliseconds expected = std::min(longestForesight, readTime + query.prompt->maximumOutputTokens * timePerToken);
    return heard.status.isLoading || (heard.status.loadTime.has_value() && now + expected > *heard.status.loadTime);
}

void RelayFleet::excludeBusyWithWeights(RouteQuery &route, const FleetQuery &query, Core::TimePoint now) const
{
    for (const auto &[id, heard] : m_heard) {
        if (isBusyWithWeights(heard, query, now)) {
            route.excluded.push_back(id);
        }
    }
}

std::optional<std::uint64_t> RelayFleet::weightsFor(const FleetQuery &query, Core::TimePoint now) const
{
    const auto versions = m_versions.find({query.service, query.prompt->model});
    if (versions == m_versions.end()) {
        return std::nullopt;
    }
    static const WeightsHistory nothingNamed;
    const auto history = m_weights.find(query.prompt->model);
    return chooseWeights(versions->second, history == m_weights.end() ? nothingNamed : history->second, m_weightsLimits, now, query.draw);
}

std::optional<FleetChoice> RelayFleet::choose(const FleetQuery &query, Core::TimePoint now)
{
    followRegister();
    FleetChoice choice;
    RouteQuery &route = choice.route;
    choice.work = plainWork;
    if (query.prompt != nullptr) {
        choice.weightsVersion = weightsFor(query, now);
        if (!choice.weightsVersion.has_value()) {
            return std::nullopt;
        }
        route.version = {poolName(query.service, query.prompt->model), "", std::to_string(*choice.weightsVersion)};
        choice.cacheScope = cacheScope(query, *choice.weightsVersion);
        route.root = chain(PrefixKey(0), choice.cacheScope);
        PrefixKey key = route.root;
        for (std::size_t part = 0; part + 1 < query.prompt->parts.size(); ++part) {
            key = chain(key, query.prompt->parts[part].id);
            route.keys.push_back(key);
        }
        choice.sharedParts = static_cast<std::uint32_t>(route.keys.size());
    } else {
        route.service = query.service;
        route.root = PrefixKey(query.draw);
    }
    for (const std::string &id : query.excluded) {
        route.excluded.push_back(backendServerId(id));
    }
    const std::size_t tried = route.excluded.size();
    if (query.prompt != nullptr) {
        excludeBusyWithWeights(route, query, now);
    }
    RouteDecision decision = m_chooser.choose(route, now);
    if (decision.candidates.empty() && route.excluded.size() > tried) {
        route.excluded.resize(tried);
        decision = m_chooser.choose(route, now);
    }
    if (decision.candidates.empty()) {
        return std::nullopt;
    }
    const RouteCandidate &best = decision.candidates.front();
    const BackendServer *server = m_chooser.server(best.id);
    choice.id = best.id;
    choice.serverId = server->name;
    choice.address = server->endpoint;
    choice.failureDomain = server->failureDomain;
    choice.warmParts = best.warmPieces;
    if (query.prompt != nullptr) {
        const std::uint32_t ownTokens = query.prompt->parts.empty() ? query.prompt->promptTokens : query.prompt->parts.back().tokens;
        choice.work = best.prefill + microseconds(1000) * (ownTokens / tokensPerMillisecond);
    }
    return choice;
}

void RelayFleet::noteSent(const FleetChoice &choice, Core::TimePoint now)
{
    m_chooser.noteDispatched(choice.id, choice.route, choice.work, now);
}

void RelayFleet::noteAnswered(const FleetChoice &choice, Core::TimePoint now)
{
    m_chooser.noteReply(choice.id, choice.route, choice.sharedParts, choice.work, now);
}

void RelayFleet::noteTrouble(const FleetChoice &choice, ServerTrouble trouble, Core::TimePoint now)
{
    RouteRefusal refusal;
    refusal.isUnavailable = true;
    refusal.retryAfter = trouble == ServerTrouble::Full ? fullPause : unreachablePause;
    m_chooser.noteRefusal(choice.id, choice.route, refusal, choice.work, now);
}

void RelayFleet::noteAbandoned(const FleetChoice &choice)
{
    m_chooser.noteNoAnswer(choice.id, choice.work);
}

} // namespace Verbena::Decisions
