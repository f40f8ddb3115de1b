#include "relayfleet.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Of a plain call until it is answered; plain services are compared with each other only, so any figure does.
constexpr milliseconds plainWork{50};

// Tokens that an engine reads in a millisecond, for the weight of a prompt against the wait at an engine: between the slowest and the fastest engines
// of the known deployments (32 and 92).
constexpr std::uint32_t tokensPerMillisecond = 50;
constexpr microseconds readPerToken{40};

// What another engine keeps comes over the network: 3 to 8 microseconds a token in the known deployments.
constexpr microseconds fetchPerToken{20};

// A cold prompt goes to its home, where all routers look for it, unless another engine is this much better off.
constexpr milliseconds awayFromHome{100};

// Without new work after a connection that failed; doubles with each further one, so that a dark backend server costs few requests.
constexpr milliseconds unreachablePause{500};
constexpr std::uint32_t mostDoublings = 4;

// Without new work after a refusal: some answers later it has room again.
constexpr milliseconds fullPause{100};

// Routers that are taken to have sent to an engine as much as this one. With more of them each sends there so rarely that a second request in a row is
// chance, and would make an idle engine look like one with a long queue.
constexpr std::uint32_t mostRoutersAlike = 8;

// News come several times a second; without any for so long the agent counts as silent.
constexpr milliseconds statusLifetime{1500};

// After most agents fell silent at once, until a router takes it that they are gone: most cuts between hosts are shorter.
constexpr milliseconds cutOffTime{6000};

// Requests that a router sends to an engine that does not answer, once its agent is silent too.
constexpr std::uint32_t mostSentToSilent = 2;

// From then on, until its engine gets its orders from elsewhere: an agent that is started again is back within a second.
constexpr milliseconds agentAbsence{1500};

// An engine that is about to load weights first finishes what it runs. To keep that short, requests that would still run by then go elsewhere: a step
// makes a token for each request and takes 4 to 10 ms in the known deployments, and a prompt is read in some tenths of a second.
constexpr milliseconds timePerToken{6};
constexpr milliseconds readTime{250};
constexpr milliseconds longestForesight{1500};

// Of an engine, until a request that comes begins to be read: for each that waits, and for each that runs and shares its steps.
constexpr milliseconds waitPerWaiting{40};
constexpr milliseconds waitPerRunning{2};

// Beyond this part of its memory a request that comes has to wait until another one ends.
constexpr double fullMemory = 0.9;
constexpr milliseconds waitForMemory{300};

// From the moment that a request comes to an engine whose queue stands still until it begins: 3.6 s were seen on an engine with full memory.
constexpr milliseconds slowestBegin{4500};

// News by which an engine begins at once: two rounds of its agent may be lost. Older ones say nothing of the queue that it has by now.
constexpr milliseconds freshNews{600};

// As slowestBegin, at an engine without fresh news and without work of this router: twice the 1.35 s that were seen where an agent had just been lost. Loads
// are spread over 5.6 s of the 8 s for which old weights may be used, so where no agent tells anything an engine stands idle for 0.3 s at most before its
// load, if it is ordered in time; with slowestBegin it would be 2.1 s.
constexpr milliseconds unknownBegin{2700};

// From the moment that a request is called back until its engine has dropped it: the way, a step of the engine, a round of this router's loop under load, and
// the way on which the naming was learned.
constexpr milliseconds callBackMargin{250};

// Shared tokens of a prompt, from which on they are worth moving: an engine reads so many in 10 to 30 ms, about as long as it asks and waits for its turn
// at its link.
constexpr std::uint32_t leastMovedTokens = 1000;

// Prompts of which a full store takes one, and from which part of its capacity on it counts as full.
constexpr std::uint64_t savesOneOf = 4;
constexpr double fullStore = 0.9;
// The lower digits of a draw have chosen the weights already.
constexpr std::uint64_t saveDrawDivisor = 1'000'000'007;

// As long as it takes to bring new weights to all engines and to read again what is asked for.
constexpr milliseconds refillTime{10000};

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

// How much a prompt is asked for has nothing to do with the weights. If it were counted anew for each version, the hottest openings would have a single
// home just when every engine is cold.
std::string demandScope(const FleetQuery &query)
{
    return query.prompt->model + (query.dedicatedTo.empty() ? "" : '/' + query.dedicatedTo);
}

bool isMemoryFull(const EngineStatus &status)
{
    return static_cast<double>(status.usedTokens) > fullMemory * static_cast<double>(status.totalTokens);
}

LoadReport loadOf(const EngineStatus &status)
{
    LoadReport report;
    report.incarnation = status.incarnation;
    report.running = status.running;
    report.queued = status.waiting;
    report.queuedWork = status.waiting * waitPerWaiting + status.running * waitPerRunning;
    report.queuedWork += isMemoryFull(status) ? waitForMemory : milliseconds(0);
    return report;
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

void RelayFleet::setRouterCount(std::uint32_t count)
{
    m_routerCount = std::max<std::uint32_t>(1, count);
}

ServerRegister &RelayFleet::servers()
{
    return m_register;
}

bool RelayFleet::hasServers() const
{
    return !m_register.servers().empty();
}

bool RelayFleet::noteWeightsNamed(const std::string &model, std::uint64_t version, Core::TimePoint at)
{
    const bool isNews = m_weights[model].note(version, at);
    if (isNews && m_namingObserver) {
        m_namingObserver();
    }
    return isNews;
}

void RelayFleet::setNamingObserver(std::function<void()> observer)
{
    m_namingObserver = std::move(observer);
}

void RelayFleet::followRegister()
{
    if (m_followedRevision == m_register.revision()) {
        return;
    }
    m_followedRevision = m_register.revision();
    m_versions.clear();
    m_domains.clear();
    m_idsByAddress.clear();
    std::vector<BackendServer> fleet;
    for (const auto &[id, registered] : m_register.servers()) {
        if (!registered.weights.empty()) {
            m_idsByAddress[registered.address].push_back(id);
        }
        followIncarnation(backendServerId(id), registered.incarnation);
        if (registered.isLeaving) {
            continue;
        }
        BackendServer server;
        server.id = backendServerId(id);
        server.name = id;
        server.endpoint = registered.address;
        server.failureDomain = registered.failureDomain;
        server.incarnation = registered.incarnation;
        for (const ServedWeights &weights : registered.weights) {
            server.served.push_back({poolName(registered.service, weights.model), "", std::to_string(weights.version)});
            ++m_versions[{registered.service, weights.model}][weights.version];
            ++m_domains[{registered.service, weights.model}][registered.failureDomain];
        }
        if (registered.weights.empty()) {
            server.service = registered.service;
        }
        fleet.push_back(std::move(server));
    }
    m_chooser.setFleet(std::move(fleet));
    const auto isGone = [this](BackendServerId id) {
        return m_chooser.server(id) == nullptr;
    };
    std::erase_if(m_heard, [&](const auto &entry) { return isGone(entry.first); });
    std::erase_if(m_agentsPresent, [this](const auto &entry) { return !m_idsByAddress.contains(entry.first); });
    std::erase_if(m_silentSince, [&](const auto &entry) { return isGone(entry.first); });
    std::erase_if(m_failures, [&](const auto &entry) { return isGone(entry.first); });
    std::erase_if(m_incarnations, [&](const auto &entry) { return isGone(entry.first); });
    m_caches.forget(isGone);
}

// A backend server that started again under its id is cold and idle. Believing it warm would send it the prompts of its earlier start, all to be read
// again.
void RelayFleet::followIncarnation(BackendServerId id, std::uint64_t incarnation)
{
    std::uint64_t &known = m_incarnations[id];
    if (known != 0 && known != incarnation) {
        m_heard.erase(id);
        m_failures.erase(id);
        m_caches.noteRestart(id);
    }
    known = incarnation;
}

// News name an address, and more than one entry may: one of an earlier engine there, or one that somebody else wrote.
const std::string *RelayFleet::idAt(const std::string &address, std::uint64_t incarnation) const
{
    const auto found = m_idsByAddress.find(address);
    if (found == m_idsByAddress.end()) {
        return nullptr;
    }
    const std::vector<std::string> &ids = found->second;
    const auto isItsStart = [&](const std::string &id) {
        return incarnation != 0 && m_register.servers().at(id).incarnation == incarnation;
    };
    const auto exact = std::find_if(ids.begin(), ids.end(), isItsStart);
    return exact == ids.end() ? &ids.back() : &*exact;
}

// Whether what becomes of the call says nothing of the backend server as it is now.
bool RelayFleet::isOutdated(const FleetChoice &choice)
{
    followRegister();
    const auto known = m_incarnations.find(choice.id);
    return known != m_incarnations.end() && choice.incarnation != 0 && known->second != choice.incarnation;
}

void RelayFleet::noteStatus(const std::string &address, const EngineStatus &status, Core::TimePoint now)
{
    followRegister();
    const std::string *known = idAt(address, status.incarnation);
    if (known == nullptr) {
        return;
    }
    // Whatever becomes of the news: the register may name an earlier engine at this address too, of which nobody ever hears again.
    m_agentsPresent[address] = now + statusLifetime;
    const std::string id = *known;
    if (m_register.noteIncarnation(id, status.incarnation) == IncarnationNews::Outdated) {
        return;
    }
    followRegister();
    const BackendServerId key = backendServerId(id);
    Heard &heard = m_heard[key];
    heard.status = status;
    heard.deadline = now + statusLifetime;
    heard.sentSince = 0;
    heard.status.parts.reset();
    if (m_chooser.server(key) != nullptr) {
        m_caches.noteNews(key, status.parts, heard.deadline);
    }
    for (const ServedWeights &weights : status.weights) {
        m_register.noteWeights(id, weights.model, weights.version);
    }
    m_chooser.noteLoad(key, loadOf(status), now);
}

// Whether most agents fell silent lately: then it is likely that this router is cut off from them, and taking their engines' orders would hold up all loads.
bool RelayFleet::isPerhapsCutOff(Core::TimePoint now) const
{
    std::size_t present = 0;
    std::size_t lately = 0;
    for (const auto &[id, heard] : m_heard) {
        present += now < heard.deadline ? 1 : 0;
        lately += now < heard.deadline + cutOffTime ? 1 : 0;
    }
    return 2 * present < lately;
}

std::vector<OrphanedEngine> RelayFleet::orphanedEngines(Core::TimePoint now)
{
    followRegister();
    std::vector<OrphanedEngine> orphaned;
    for (const auto &[id, server] : m_register.servers()) {
        const BackendServerId key = backendServerId(id);
        const auto present = m_agentsPresent.find(server.address);
        if (present != m_agentsPresent.end() && now < present->second) {
            m_silentSince.erase(key);
            continue;
        }
        const Core::TimePoint since = m_silentSince.try_emplace(key, now).first->second;
        for (const ServedWeights &weights : server.weights) {
            const auto named = m_weights.find(weights.model);
            const bool isOwed = named != m_weights.end() && weights.version < named->second.newest();
            if (isOwed && !server.isLeaving && now >= since + agentAbsence) {
                orphaned.push_back({id, server.address, weights.model, named->second.newest(), since});
            }
        }
    }
    return isPerhapsCutOff(now) ? std::vector<OrphanedEngine>() : orphaned;
}

std::map<std::string, WeightsGoal> RelayFleet::weightsGoals() const
{
    std::map<std::string, WeightsGoal> goals;
    for (const auto &[model, history] : m_weights) {
        goals[model] = {history.newest(), history.newestSince(), {}};
    }
    for (const auto &[id, server] : m_register.servers()) {
        for (const ServedWeights &weights : server.weights) {
            const auto goal = goals.find(weights.model);
            if (goal != goals.end() && !server.isLeaving) {
                goal->second.holders.push_back({id, weights.version});
            }
        }
    }
    return goals;
}

CacheStores &RelayFleet::cacheStores()
{
    return m_caches.stores();
}

// The deepest of its shared parts tells a prompt's store, in every version of the weights and without what belongs to the request alone.
const CacheStore *RelayFleet::storeOf(const FleetChoice &choice) const
{
    return choice.route.keys.empty() || !isWorthMoving(choice.parts) ? nullptr : m_caches.stores().storeOf(choice.route.keys.back(), choice.route.homeDomain);
}

// A part that is short is read sooner than it is fetched: transfers of an engine run one after the other, and a long prompt's takes up to a tenth of a
// second. Saved with what belongs to the request alone, many short ones push the few long ones out of the store. Leaving them out raised the worth that
// callers got from 0.818 to 0.822 of what they were owed (means of 27 busy days).
bool RelayFleet::isWorthMoving(const std::vector<SharedPart> &parts)
{
    const auto add = [](std::uint32_t tokens, const SharedPart &part) {
        return tokens + part.tokens;
    };
    return std::accumulate(parts.begin(), parts.end(), std::uint32_t(0), add) >= leastMovedTokens;
}

// Whether caches are still being filled after new weights.
bool RelayFleet::isRefilling(const FleetQuery &query, Core::TimePoint now) const
{
    const WeightsHistory &history = weightsHistory(query);
    return history.newest() > 0 && now < history.newestSince() + refillTime;
}

// A full store drops something useful for each prompt that it takes, and half of what it takes belongs to one request alone. Letting in only one of
// several keeps what is asked for again and again; right after new weights, when all that it holds is void, it takes all.
bool RelayFleet::isWorthSaving(const PartIndex &store, const FleetQuery &query, Core::TimePoint now) const
{
    const bool hasRoom = static_cast<double>(store.tokens()) < fullStore * static_cast<double>(store.capacity());
    return isRefilling(query, now) || hasRoom || query.draw / saveDrawDivisor % savesOneOf == 0;
}

std::string RelayFleet::holderOf(const FleetChoice &choice, Core::TimePoint now) const
{
    const auto holder = m_caches.holder(choice.parts, std::max(choice.warmParts, choice.storedParts), now);
    const BackendServer *server = holder.has_value() ? m_chooser.server(*holder) : nullptr;
    return server == nullptr ? "" : server->endpoint;
}

// What a request would wait for at the candidate, and what it would cost the engine on top: reading what nobody keeps, fetching what another one does.
microseconds RelayFleet::cost(RouteCandidate &candidate, const std::vector<SharedPart> &parts, std::uint32_t warmAnywhere, Core::TimePoint now) const
{
    // What was seen there before says nothing: it may have been on other weights.
    candidate.warmPieces = m_caches.warmParts(candidate.id, parts, now).value_or(0);
    candidate.prefill = microseconds(0);
    for (std::uint32_t part = candidate.warmPieces; part < parts.size(); ++part) {
        candidate.prefill += parts[part].tokens * (part < warmAnywhere ? fetchPerToken : readPerToken);
    }
    return candidate.wait + candidate.prefill + (candidate.origin == CandidateOrigin::Home ? microseconds(0) : awayFromHome);
}

// The engine asks the store for what it lacks, even if the agent said that it lacks nothing: a question in vain costs a millisecond, reading a part
// again a hundred. What the store has needs not to be saved: with each part it would also get the one that belongs to this request alone, and drop for
// it what others miss.
void RelayFleet::settleCaches(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    const CacheStore *store = storeOf(choice);
    choice.storedParts = PromptCaches::storedParts(store, choice.parts);
    choice.cacheSource = isRefilling(query, now) ? holderOf(choice, now) : "";
    if (store == nullptr) {
        return;
    }
    if (choice.cacheSource.empty()) {
        choice.cacheSource = store->address;
    }
    if (choice.storedParts < choice.parts.size() && isWorthSaving(*store->index, query, now)) {
        choice.cacheStore = store->address;
    }
}

RouteCandidate RelayFleet::bestOf(const RouteDecision &decision, const FleetChoice &choice, Core::TimePoint now) const
{
    const std::vector<SharedPart> &parts = choice.parts;
    const std::uint32_t anywhere = m_caches.warmAnywhere(storeOf(choice), parts, now);
    RouteCandidate best = decision.candidates.front();
    microseconds lowest = cost(best, parts, anywhere, now);
    for (RouteCandidate candidate : decision.candidates) {
        const microseconds offered = cost(candidate, parts, anywhere, now);
        if (offered < lowest) {
            lowest = offered;
            best = candidate;
        }
    }
    return best;
}

// What waits there by the last news and what routers have sent since. Other routers choose alike, so each is taken to have sent as much as this one; a
// single request says nothing of that. Without this all routers together would fill an engine's queue between two of its news, first of all one that
// has just got new weights and seems idle.
std::uint32_t RelayFleet::presentlyWaiting(const Heard &heard) const
{
    const std::uint32_t waiting = heard.status.waiting;
    const std::uint32_t telling = waiting > 0 ? heard.sentSince : heard.sentSince - std::min<std::uint32_t>(heard.sentSince, 1);
    return waiting + telling * std::min(m_routerCount, mostRoutersAlike);
}

void RelayFleet::estimate(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    const auto heard = m_heard.find(choice.id);
    if (heard == m_heard.end() || now >= heard->second.deadline) {
        return;
    }
    static const WaitEstimate nothingLearned;
    const auto learned = m_estimates.find(query.route);
    choice.waiting = presentlyWaiting(heard->second);
    choice.newsAge = std::chrono::duration_cast<milliseconds>(now - (heard->second.deadline - statusLifetime));
    const WaitEstimate &waits = learned == m_estimates.end() ? nothingLearned : learned->second;
    choice.expectedWait = waits.expected(choice.waiting, now);
    choice.bearableWait = waits.bearable(query.latencyTarget);
}

bool RelayFleet::isBusyWithWeights(const Heard &heard, const FleetQuery &query, Core::TimePoint now) const
{
    if (now >= heard.deadline) {
        return false;
    }
    const milliseconds expected = std::min(longestForesight, readTime + query.prompt->maximumOutputTokens * timePerToken);
    return heard.status.isSilent || heard.status.isLoading || (heard.status.loadTime.has_value() && now + expected > *heard.status.loadTime);
}

// An engine whose agent fell silent may be gone with its host, or answer on. As long as nothing came back of what was sent to it since, one more request is
// enough to find out.
void RelayFleet::excludeSilent(RouteQuery &route, Core::TimePoint now) const
{
    for (const auto &[id, heard] : m_heard) {
        if (now >= heard.deadline && heard.sentSince >= mostSentToSilent) {
            route.excluded.push_back(id);
        }
    }
}

void RelayFleet::excludeBusyWithWeights(RouteQuery &route, const FleetQuery &query, Core::TimePoint now) const
{
    for (const auto &[id, heard] : m_heard) {
        if (isBusyWithWeights(heard, query, now)) {
            route.excluded.push_back(id);
        }
    }
}

// Whether a request that comes to it now may begin after \a until, when slowestBegin is all that is left. Of an engine without fresh news this router knows its
// own unanswered work, and takes it that others have sent as much.
bool RelayFleet::mayBeginLate(BackendServerId id, Core::TimePoint until, Core::TimePoint now) const
{
    const auto known = m_heard.find(id);
    if (known != m_heard.end()) {
        const Heard &heard = known->second;
        if (presentlyWaiting(heard) > 0 || isMemoryFull(heard.status) || heard.status.isSilent) {
            return true;
        }
        if (now < heard.deadline - statusLifetime + freshNews) {
            return false;
        }
    }
    return now + unknownBegin + m_chooser.unanswered(id) * std::min(m_routerCount, mostRoutersAlike) >= until;
}

// An engine whose queue stands still, for instance because its memory is full, may begin a request seconds after it came, and then on weights that
// nothing may begin on any more. What is known here lets few requests come to that; those that do are called back.
void RelayFleet::excludeLateBeginners(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    const std::optional<Core::TimePoint> until = begunUntil(*choice.weightsVersion, weightsHistory(query), m_weightsLimits);
    if (!until.has_value() || now + slowestBegin < *until) {
        return;
    }
    for (const auto &[id, incarnation] : m_incarnations) {
        if (mayBeginLate(id, *until, now)) {
            choice.route.excluded.push_back(id);
        }
    }
}

const WeightsHistory &RelayFleet::weightsHistory(const FleetQuery &query) const
{
    static const WeightsHistory nothingNamed;
    const auto history = m_weights.find(query.prompt->model);
    return history == m_weights.end() ? nothingNamed : history->second;
}

void RelayFleet::describePrompt(FleetChoice &choice, const FleetQuery &query) const
{
    choice.cacheScope = cacheScope(query, *choice.weightsVersion);
    RouteQuery &route = choice.route;
    route.version = {poolName(query.service, query.prompt->model), "", std::to_string(*choice.weightsVersion)};
    route.root = chain(PrefixKey(0), demandScope(query));
    PrefixKey key = route.root;
    for (std::size_t part = 0; part + 1 < query.prompt->parts.size(); ++part) {
        const PromptPart &shared = query.prompt->parts[part];
        key = chain(key, shared.id);
        route.keys.push_back(key);
        choice.parts.push_back({partKey(choice.cacheScope, shared.id), shared.tokens});
    }
    if (m_caches.stores().isAny() && isWorthMoving(choice.parts)) {
        route.homeDomain = homeDomain(query, key);
    }
}

// The failure domain in which a prompt is at home, with a part of all prompts that is each domain's part of the engines. With its store there too, what is
// saved and fetched stays inside.
std::string RelayFleet::homeDomain(const FleetQuery &query, PrefixKey prompt) const
{
    std::string home;
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto &[domain, engines] : m_domains.at({query.service, query.prompt->model})) {
        const std::uint64_t hash = XXH3_64bits_withSeed(domain.data(), domain.size(), static_cast<std::uint64_t>(prompt));
        // Weighted rendezvous hashing: a domain that grows takes prompts from all others alike.
        const double distance = -std::log((static_cast<double>(hash >> 11) + 1) * 0x1p-53) / static_cast<double>(engines);
        if (distance < lowest) {
            lowest = distance;
            home = domain;
        }
    }
    return home;
}

RouteDecision RelayFleet::candidates(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    RouteQuery &route = choice.route;
    for (const std::string &id : query.excluded) {
        route.excluded.push_back(backendServerId(id));
    }
    if (query.prompt == nullptr) {
        return m_chooser.choose(route, now);
    }
    const std::size_t tried = route.excluded.size();
    excludeLateBeginners(choice, query, now);
    const std::size_t usable = route.excluded.size();
    if (usable - tried == m_incarnations.size()) {
        // Looking through all of them in vain takes time by the square of their number.
        return {};
    }
    excludeSilent(route, now);
    excludeBusyWithWeights(route, query, now);
    RouteDecision decision = m_chooser.choose(route, now);
    if (decision.candidates.empty() && route.excluded.size() > usable) {
        // One that is busy with weights is better than none.
        route.excluded.resize(usable);
        decision = m_chooser.choose(route, now);
        choice.isBusyWithWeights = true;
    }
    return decision;
}

void RelayFleet::settle(FleetChoice &choice, const RouteCandidate &best, const FleetQuery &query, Core::TimePoint now) const
{
    const BackendServer *server = m_chooser.server(best.id);
    choice.id = best.id;
    choice.serverId = server->name;
    choice.address = server->endpoint;
    choice.incarnation = server->incarnation;
    if (query.prompt == nullptr) {
        choice.work = plainWork;
        return;
    }
    const std::uint32_t ownTokens = query.prompt->parts.empty() ? query.prompt->promptTokens : query.prompt->parts.back().tokens;
    choice.work = best.prefill + microseconds(1000) * (ownTokens / tokensPerMillisecond);
    choice.warmParts = best.warmPieces;
    const std::optional<Core::TimePoint> outdated = weightsHistory(query).outdatedSince(*choice.weightsVersion);
    if (outdated.has_value() && *outdated != Core::TimePoint::min()) {
        choice.outdatedFor = std::chrono::duration_cast<milliseconds>(now - *outdated);
    }
    settleCaches(choice, query, now);
    estimate(choice, query, now);
}

std::optional<FleetChoice> RelayFleet::choosePlain(const FleetQuery &query, Core::TimePoint now) const
{
    FleetChoice choice;
    choice.routeName = query.route;
    choice.route.service = query.service;
    choice.route.root = PrefixKey(query.draw);
    const RouteDecision decision = candidates(choice, query, now);
    if (decision.candidates.empty()) {
        return std::nullopt;
    }
    settle(choice, decision.candidates.front(), query, now);
    return choice;
}

std::optional<FleetChoice> RelayFleet::chooseOn(std::uint64_t weights, const FleetQuery &query, Core::TimePoint now) const
{
    FleetChoice choice;
    choice.routeName = query.route;
    choice.weightsVersion = weights;
    describePrompt(choice, query);
    const RouteDecision decision = candidates(choice, query, now);
    if (decision.candidates.empty()) {
        return std::nullopt;
    }
    settle(choice, choice.parts.empty() ? decision.candidates.front() : bestOf(decision, choice, now), query, now);
    return choice;
}

bool RelayFleet::isBearable(const FleetChoice &choice)
{
    return !choice.isBusyWithWeights && choice.expectedWait.value_or(microseconds(0)) <= choice.bearableWait;
}

bool RelayFleet::isBetter(const FleetChoice &choice, const FleetChoice &other)
{
    const auto rank = [](const FleetChoice &one) {
        return std::pair(one.isBusyWithWeights, one.expectedWait.value_or(microseconds(0)));
    };
    return rank(choice) < rank(other);
}

std::optional<FleetChoice> RelayFleet::choose(const FleetQuery &query, Core::TimePoint now)
{
    followRegister();
    if (query.prompt == nullptr) {
        return choosePlain(query, now);
    }
    const auto versions = m_versions.find({query.service, query.prompt->model});
    if (versions == m_versions.end()) {
        return std::nullopt;
    }
    const WeightsHistory &history = weightsHistory(query);
    const auto drawn = chooseWeights(versions->second, history, m_weightsLimits, now, query.draw);
    if (!drawn.has_value()) {
        return std::nullopt;
    }
    std::optional<FleetChoice> best = chooseOn(*drawn, query, now);
    if (best.has_value() && isBearable(*best)) {
        return best;
    }
    for (const std::uint64_t weights : usableWeights(versions->second, history, m_weightsLimits, now)) {
        std::optional<FleetChoice> other = weights == *drawn ? std::nullopt : chooseOn(weights, query, now);
        if (other.has_value() && (!best.has_value() || isBetter(*other, *best))) {
            best = std::move(other);
        }
        if (best.has_value() && isBearable(*best)) {
            break;
        }
    }
    return best;
}

bool RelayFleet::isHeldUpFromLoading(const FleetChoice &choice, Core::TimePoint now) const
{
    const auto heard = m_heard.find(choice.id);
    if (heard == m_heard.end() || now >= heard->second.deadline) {
        return false;
    }
    const EngineStatus &status = heard->second.status;
    return status.isLoading || (status.loadTime.has_value() && now >= *status.loadTime);
}

std::optional<Core::TimePoint> RelayFleet::callBackTime(const FleetChoice &choice, const std::string &model) const
{
    const auto history = m_weights.find(model);
    if (history == m_weights.end() || !choice.weightsVersion.has_value()) {
        return std::nullopt;
    }
    const std::optional<Core::TimePoint> until = begunUntil(*choice.weightsVersion, history->second, m_weightsLimits);
    return until.has_value() ? std::optional(*until - callBackMargin) : std::nullopt;
}

void RelayFleet::noteSent(FleetChoice &choice, Core::TimePoint now)
{
    choice.sentAt = now;
    m_chooser.noteDispatched(choice.id, choice.route, choice.work, now);
    const auto heard = m_heard.find(choice.id);
    if (heard != m_heard.end()) {
        ++heard->second.sentSince;
    }
    m_caches.noteSent(choice.id, choice.parts, now);
}

void RelayFleet::noteAnswered(const FleetChoice &choice, Core::TimePoint now)
{
    if (isOutdated(choice)) {
        return;
    }
    m_failures.erase(choice.id);
    const auto heard = m_heard.find(choice.id);
    if (heard != m_heard.end() && now >= heard->second.deadline) {
        heard->second.sentSince = 0;
    }
    m_chooser.noteReply(choice.id, choice.route, static_cast<std::uint32_t>(choice.parts.size()), choice.work, now);
    if (choice.expectedWait.has_value()) {
        m_estimates[choice.routeName].note(choice.waiting, std::chrono::duration_cast<microseconds>(now - choice.sentAt), now);
    }
}

void RelayFleet::noteTrouble(const FleetChoice &choice, ServerTrouble trouble, Core::TimePoint now)
{
    if (isOutdated(choice)) {
        return;
    }
    RouteRefusal refusal;
    refusal.isUnavailable = true;
    refusal.retryAfter = trouble == ServerTrouble::Full ? fullPause : unreachablePause * (1 << std::min(m_failures[choice.id]++, mostDoublings));
    m_chooser.noteRefusal(choice.id, choice.route, refusal, choice.work, now);
}

void RelayFleet::noteAbandoned(const FleetChoice &choice)
{
    if (!isOutdated(choice)) {
        m_chooser.noteNoAnswer(choice.id, choice.work);
    }
}

void RelayFleet::noteWeights(const FleetChoice &choice, const std::string &model, std::uint64_t version)
{
    if (!isOutdated(choice)) {
        m_register.noteWeights(choice.serverId, model, version);
    }
}

void RelayFleet::noteReplaced(const FleetChoice &choice)
{
    if (!isOutdated(choice)) {
        m_register.noteReplaced(choice.serverId);
    }
}

} // namespace Verbena::Decisions
