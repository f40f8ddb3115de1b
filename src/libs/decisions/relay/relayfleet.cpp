#include "relayfleet.h"

#include "promptkeys.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Of a plain call until it is answered; plain services are compared with each other only, so any figure does.
constexpr milliseconds plainWork{50};

// Without new work after a connection that failed; doubles with each further one, so that a dark backend server costs few requests.
constexpr milliseconds unreachablePause{500};
constexpr std::uint32_t mostDoublings = 4;

// Without new work after a refusal: some answers later it has room again.
constexpr milliseconds fullPause{100};

// From the moment that an agent is silent until its engine gets its orders from elsewhere: an agent that is started again is back within a second.
constexpr milliseconds agentAbsence{1500};

// From the moment that a request is called back until its engine has dropped it: the way, a step of the engine, a round of this router's loop under load, and
// the way on which the naming was learned.
constexpr milliseconds callBackMargin{250};

} // namespace

RelayFleet::RelayFleet(const RoutingOptions &routing, const WeightsLimits &weights)
    : m_chooser(routing)
    , m_weightsLimits(weights)
{
}

void RelayFleet::setRouterCount(std::uint32_t count)
{
    m_news.setRouterCount(count);
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
    m_homeDomains.clear();
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
            m_homeDomains.addEngine(registered.service, weights.model, registered.failureDomain);
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
    m_news.forget(isGone);
    std::erase_if(m_agentsPresent, [this](const auto &entry) { return !m_idsByAddress.contains(entry.first); });
    std::erase_if(m_silentSince, [&](const auto &entry) { return isGone(entry.first); });
    std::erase_if(m_failures, [&](const auto &entry) { return isGone(entry.first); });
    std::erase_if(m_incarnations, [&](const auto &entry) { return isGone(entry.first); });
    m_moves.caches().forget(isGone);
}

// A backend server that started again under its id is cold and idle. Believing it warm would send it the prompts of its earlier start, all to be read
// again.
void RelayFleet::followIncarnation(BackendServerId id, std::uint64_t incarnation)
{
    std::uint64_t &known = m_incarnations[id];
    if (known != 0 && known != incarnation) {
        m_news.noteRestart(id);
        m_failures.erase(id);
        m_moves.caches().noteRestart(id);
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
    m_agentsPresent[address] = now + EngineNews::lifetime;
    const std::string id = *known;
    if (m_register.noteIncarnation(id, status.incarnation) == IncarnationNews::Outdated) {
        return;
    }
    followRegister();
    const BackendServerId key = backendServerId(id);
    m_news.note(key, status, now);
    if (m_chooser.server(key) != nullptr) {
        m_moves.caches().noteNews(key, status.parts, now + EngineNews::lifetime);
    }
    for (const ServedWeights &weights : status.weights) {
        m_register.noteWeights(id, weights.model, weights.version);
    }
    m_chooser.noteLoad(key, EngineNews::loadOf(status), now);
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
    return m_news.isPerhapsCutOff(now) ? std::vector<OrphanedEngine>() : orphaned;
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
    return m_moves.caches().stores();
}

void RelayFleet::estimate(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    const std::optional<EngineQueue> queue = m_news.queue(choice.id, now);
    if (!queue.has_value()) {
        return;
    }
    static const WaitEstimate nothingLearned;
    const auto learned = m_estimates.find(query.route);
    choice.waiting = queue->waiting;
    choice.newsAge = queue->newsAge;
    const WaitEstimate &waits = learned == m_estimates.end() ? nothingLearned : learned->second;
    choice.expectedWait = waits.expectedWait(choice.waiting, now);
    choice.bearableWait = waits.acceptableWait(query.latencyTarget);
}

// An engine whose queue stands still, for instance because its memory is full, may begin a request seconds after it came, and then on weights that
// nothing may begin on any more. What is known here lets few requests come to that; those that do are called back.
void RelayFleet::excludeLateBeginners(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    const std::optional<Core::TimePoint> until = begunUntil(*choice.weightsVersion, weightsHistory(query), m_weightsLimits);
    if (!until.has_value() || EngineNews::beginsAnywhere(*until, now)) {
        return;
    }
    for (const auto &[id, incarnation] : m_incarnations) {
        if (m_news.mayBeginLate(id, m_chooser.unanswered(id), *until, now)) {
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
    m_news.addSilent(route.excluded, now);
    m_news.addBusyWithWeights(route.excluded, query.prompt->maximumOutputTokens, now);
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
    choice.work = PromptMoves::work(best, *query.prompt);
    choice.warmParts = best.warmPieces;
    const WeightsHistory &history = weightsHistory(query);
    const std::optional<Core::TimePoint> outdated = history.outdatedSince(*choice.weightsVersion);
    if (outdated.has_value() && *outdated != Core::TimePoint::min()) {
        choice.outdatedFor = std::chrono::duration_cast<milliseconds>(now - *outdated);
    }
    m_moves.settle(choice, query, history, m_chooser, now);
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
    if (m_moves.isForStores(choice)) {
        choice.route.homeDomain = m_homeDomains.homeOf(query.service, query.prompt->model, choice.route.keys.back());
    }
    const RouteDecision decision = candidates(choice, query, now);
    if (decision.candidates.empty()) {
        return std::nullopt;
    }
    settle(choice, choice.parts.empty() ? decision.candidates.front() : m_moves.bestOf(decision, choice, now), query, now);
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
    return m_news.isHeldUpFromLoading(choice.id, now);
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
    m_news.noteSent(choice.id);
    m_moves.caches().noteSent(choice.id, choice.parts, now);
}

void RelayFleet::noteAnswered(const FleetChoice &choice, Core::TimePoint now)
{
    if (isOutdated(choice)) {
        return;
    }
    m_failures.erase(choice.id);
    m_news.noteAnswered(choice.id, now);
    m_chooser.noteReply(choice.id, choice.route, static_cast<std::uint32_t>(choice.parts.size()), choice.work, now);
    if (choice.expectedWait.has_value()) {
        m_estimates[choice.routeName].addSample(choice.waiting, std::chrono::duration_cast<microseconds>(now - choice.sentAt), now);
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
