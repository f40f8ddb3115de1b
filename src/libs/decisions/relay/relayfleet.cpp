#include "relayfleet.h"

#include "plainchoice.h"
#include "promptkeys.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Work of a plain call until it is answered. Plain services are compared with each other only, so any value does.
constexpr milliseconds plainCallWork{50};

// Pause after a failed connection; doubles with each further one, so that an unreachable backend server costs few requests.
constexpr milliseconds unreachablePause{500};
constexpr std::uint32_t maxPauseDoublings = 4;

// Pause after a refusal; some answers later the server has capacity again.
constexpr milliseconds fullPause{100};

// Time from calling back a request until its engine has dropped it: network latency, a step of the engine, an iteration of this router's event loop under
// load, and the latency with which the announcement was received.
constexpr milliseconds callBackMargin{250};

// Searches for a server with a free slot, of three candidates or so each, before a call goes to one that is full.
constexpr int maximumSearches = 3;

// Random engines that are considered in addition for a prompt with short shared parts. If three of ten engines are fast, eight contain a fast one in 94 of
// 100 cases.
constexpr std::uint32_t randomServersForSpeed = 8;

} // namespace

RelayFleet::RelayFleet(const RoutingOptions &routing, const WeightsLimits &weights)
    : m_chooser(routing)
    , m_weightsLimits(weights)
{
}

void RelayFleet::setRouterCount(std::uint32_t count)
{
    m_reports.setRouterCount(count);
}

ServerRegister &RelayFleet::servers()
{
    return m_register;
}

ServerLimits &RelayFleet::limits()
{
    return m_limits;
}

bool RelayFleet::hasSoftware(const std::string &service, const std::string &softwareVersion)
{
    syncWithRegister();
    return m_software.contains({service, softwareVersion});
}

// Besides the servers that the register says leave, and those that are paused after a failure, this router may send nothing to these now.
std::vector<std::string> RelayFleet::unavailable(Core::TimePoint now)
{
    std::vector<std::string> ids = m_limits.exhausted(now);
    const std::vector<std::string> resting = m_rests.resting(now);
    ids.insert(ids.end(), resting.begin(), resting.end());
    return ids;
}

std::optional<Core::TimePoint> RelayFleet::nextSend(const std::string &serverId, Core::TimePoint now)
{
    const std::optional<Core::TimePoint> next = m_limits.nextSend(serverId, now);
    return next.has_value() ? std::optional(std::max(*next, m_rests.end(serverId, now).value_or(now))) : std::nullopt;
}

std::optional<milliseconds> RelayFleet::sendDelay(const FleetQuery &query, Core::TimePoint now)
{
    std::optional<milliseconds> delay;
    for (const std::string &id : unavailable(now)) {
        const auto server = m_register.servers().find(id);
        const std::optional<Core::TimePoint> next = nextSend(id, now);
        const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end();
        if (server == m_register.servers().end() || server->second.service != query.service || server->second.isLeaving || isExcluded) {
            continue;
        }
        const bool hasSoftware = !query.softwareVersion.has_value() || server->second.softwareVersion == *query.softwareVersion;
        if (hasSoftware && next.has_value()) {
            const auto left = std::chrono::ceil<milliseconds>(*next - now);
            delay = std::min(delay.value_or(left), left);
        }
    }
    return delay;
}

std::optional<milliseconds> RelayFleet::restDelay(const std::string &service, Core::TimePoint now) const
{
    std::optional<milliseconds> delay;
    for (const auto &[id, server] : m_register.servers()) {
        if (server.service != service || server.isLeaving) {
            continue;
        }
        const std::optional<Core::TimePoint> end = m_rests.end(id, now);
        if (!end.has_value()) {
            return std::nullopt;
        }
        const auto left = std::chrono::ceil<milliseconds>(*end - now);
        delay = std::min(delay.value_or(left), left);
    }
    return delay;
}

bool RelayFleet::recordRest(const FleetChoice &choice, milliseconds rest, Core::TimePoint now)
{
    return !isOutdated(choice) && m_rests.record(choice.serverId, choice.incarnation, now + rest, now);
}

bool RelayFleet::recordLimit(const FleetChoice &choice, const std::optional<double> &perSecond, Core::TimePoint now)
{
    return !isOutdated(choice) && m_limits.handleAnswer(choice.serverId, choice.incarnation, perSecond, choice.sentAt, now);
}

bool RelayFleet::namesPace(const std::string &service) const
{
    return m_pace.namesPace(service);
}

void RelayFleet::recordLoad(const FleetChoice &choice, const ServerLoad &load, Core::TimePoint now)
{
    if (isOutdated(choice)) {
        return;
    }
    m_reportedLoads.update(choice.id, load, unansweredCalls(choice.id), now);
    if (load.pace.has_value()) {
        m_pace.recordPace(choice.id, *load.pace, now);
    }
}

// The delay of a plain call is estimated from reports; how long a prompt waited at an engine is not known well enough.
void RelayFleet::recordWork(const FleetChoice &choice, Core::TimePoint now)
{
    const bool isPrompt = choice.weightsVersion.has_value();
    const bool hasWaited = isPrompt && (choice.waiting > 0 || m_reportedLoads.isFull(choice.id, 0, now));
    if (!isOutdated(choice) && !hasWaited) {
        const auto expected = std::chrono::duration_cast<microseconds>(choice.work * (1 + choice.expectedDelay));
        m_pace.recordWork(choice.id, std::chrono::duration_cast<microseconds>(now - choice.sentAt), expected, now);
    }
}

void RelayFleet::recordLongestPause(const FleetChoice &choice, microseconds longest)
{
    if (choice.slowness.has_value()) {
        m_pauses[choice.routeName].addSample(longest, choice.lastingSlowness);
    }
}

bool RelayFleet::applyLimitNews(const ServerLimitNews &news, Core::TimePoint now)
{
    syncWithRegister();
    const auto recorded = m_incarnations.find(backendServerId(news.serverId));
    const bool isOther = recorded != m_incarnations.end() && recorded->second != 0 && news.incarnation != 0 && recorded->second != news.incarnation;
    return !isOther && m_limits.handleNews(news, now);
}

bool RelayFleet::hasServers() const
{
    return !m_register.servers().empty();
}

bool RelayFleet::recordWeightsAnnouncement(const std::string &model, std::uint64_t version, Core::TimePoint at)
{
    const bool isNewer = m_weights[model].record(version, at);
    if (isNewer && m_announcementObserver) {
        m_announcementObserver();
    }
    return isNewer;
}

void RelayFleet::withdrawWeightsAbove(const std::string &model, std::uint64_t version)
{
    const auto history = m_weights.find(model);
    if (history != m_weights.end() && history->second.withdrawAbove(version) && m_announcementObserver) {
        m_announcementObserver();
    }
}

void RelayFleet::setAnnouncementObserver(std::function<void()> observer)
{
    m_announcementObserver = std::move(observer);
}

void RelayFleet::syncWithRegister()
{
    if (m_syncedRevision == m_register.revision()) {
        return;
    }
    m_syncedRevision = m_register.revision();
    m_versions.clear();
    m_software.clear();
    m_homeDomains.clear();
    m_idsByAddress.clear();
    std::vector<BackendServer> fleet;
    for (const auto &[id, registered] : m_register.servers()) {
        if (!registered.weights.empty()) {
            m_idsByAddress[registered.address].push_back(id);
        }
        updateIncarnation(backendServerId(id), registered.incarnation);
        m_limits.updateIncarnation(id, registered.incarnation);
        m_rests.updateIncarnation(id, registered.incarnation);
        if (registered.isLeaving) {
            continue;
        }
        m_software.emplace(registered.service, registered.softwareVersion);
        m_pace.updateServer(backendServerId(id), registered.service, registered.incarnation);
        BackendServer server;
        server.id = backendServerId(id);
        server.name = id;
        server.endpoint = registered.address;
        server.failureDomain = registered.failureDomain;
        server.incarnation = registered.incarnation;
        server.softwareVersion = registered.softwareVersion;
        for (const ServedWeights &weights : registered.weights) {
            server.served.insert({poolName(registered.service, weights.model), "", std::to_string(weights.version)});
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
    m_reports.removeIf(isGone);
    m_earlierStarts.removeIf(isGone);
    m_agents.removeIf([this](const std::string &address) { return !m_idsByAddress.contains(address); }, isGone);
    std::erase_if(m_failures, [&](const auto &entry) { return isGone(entry.first); });
    std::erase_if(m_incarnations, [&](const auto &entry) { return isGone(entry.first); });
    m_transfers.caches().removeIf(isGone);
    m_pace.removeIf(isGone);
    m_reportedLoads.removeIf(isGone);
}

// A backend server that restarted under its id is cold and idle. If it still counted as warm, it would get the prompts of its earlier incarnation, all to be
// computed again.
void RelayFleet::updateIncarnation(BackendServerId id, std::uint64_t incarnation)
{
    std::uint64_t &recorded = m_incarnations[id];
    if (recorded != 0 && recorded != incarnation) {
        m_reports.discard(id);
        m_reportedLoads.handleRestart(id);
        m_failures.erase(id);
        m_transfers.caches().handleRestart(id);
    }
    recorded = incarnation;
}

// Reports name an address, and more than one entry may name it too: that of an earlier engine there, or one that another program wrote.
const std::string *RelayFleet::idAt(const std::string &address, std::uint64_t incarnation) const
{
    const auto found = m_idsByAddress.find(address);
    if (found == m_idsByAddress.end()) {
        return nullptr;
    }
    const std::vector<std::string> &ids = found->second;
    const auto isSameIncarnation = [&](const std::string &id) {
        return incarnation != 0 && m_register.servers().at(id).incarnation == incarnation;
    };
    const auto exact = std::find_if(ids.begin(), ids.end(), isSameIncarnation);
    return exact == ids.end() ? &ids.back() : &*exact;
}

// Returns whether the outcome of the call says nothing about the present incarnation of the backend server.
bool RelayFleet::isOutdated(const FleetChoice &choice)
{
    syncWithRegister();
    const auto recorded = m_incarnations.find(choice.id);
    return recorded != m_incarnations.end() && choice.incarnation != 0 && recorded->second != choice.incarnation;
}

// Updates the incarnation. A start that was never one, from a report or an entry that was odd, would otherwise make all reports on the real one late for good.
// An agent repeats the last report of an engine that is silent, so only one of an engine that answers shows which start it is.
bool RelayFleet::isOutdatedReport(const std::string &id, const EngineStatus &status, Core::TimePoint now)
{
    const BackendServerId key = backendServerId(id);
    if (m_register.updateIncarnation(id, status.incarnation) != IncarnationComparison::Outdated) {
        m_earlierStarts.discard(key);
        return false;
    }
    if (status.isSilent || !m_earlierStarts.record(key, status.incarnation, now)) {
        return true;
    }
    m_earlierStarts.discard(key);
    m_register.restoreIncarnation(id, status.incarnation);
    return false;
}

void RelayFleet::updateStatus(const std::string &address, const EngineStatus &status, Core::TimePoint now)
{
    syncWithRegister();
    const std::string *recorded = idAt(address, status.incarnation);
    if (recorded == nullptr) {
        return;
    }
    // The agent counts as present even if its report is then ignored: the register may also name an earlier engine at this address, of which no report will
    // ever come.
    m_agents.recordReport(address, now);
    const std::string id = *recorded;
    if (isOutdatedReport(id, status, now)) {
        return;
    }
    syncWithRegister();
    const BackendServerId key = backendServerId(id);
    m_reports.update(key, status, now);
    if (m_chooser.server(key) != nullptr) {
        m_transfers.caches().updateReport(key, status.parts, now + EngineReports::lifetime);
    }
    for (const ServedWeights &weights : status.weights) {
        m_register.updateWeights(id, weights.model, weights.version, {WeightsSource::Report, 0});
    }
    m_chooser.updateLoad(key, EngineReports::loadReport(status), now);
    if (status.pace.has_value()) {
        m_pace.recordPace(key, *status.pace, now);
    }
}

// The engine counts as one without reports from now on, and not as silent. Its orders wait for the next agent as long as they would without this.
void RelayFleet::handleAgentEnd(const std::string &address)
{
    syncWithRegister();
    const auto ids = m_idsByAddress.find(address);
    if (ids == m_idsByAddress.end()) {
        return;
    }
    for (const std::string &id : ids->second) {
        m_reports.discard(backendServerId(id));
    }
}

bool RelayFleet::hasAgent(const std::string &address, Core::TimePoint now) const
{
    return m_agents.isPresent(address, now);
}

std::vector<OrphanedEngine> RelayFleet::orphanedEngines(Core::TimePoint now)
{
    syncWithRegister();
    std::vector<OrphanedEngine> orphaned;
    for (const auto &[id, server] : m_register.servers()) {
        const BackendServerId key = backendServerId(id);
        const std::optional<Core::TimePoint> since = m_agents.orphanedSince(key, server.address, now);
        if (!since.has_value() || server.isLeaving) {
            continue;
        }
        for (const ServedWeights &weights : server.weights) {
            const auto announced = m_weights.find(weights.model);
            const bool isBehind = announced != m_weights.end() && weights.version < announced->second.newest();
            if (isBehind) {
                orphaned.push_back({id, server.address, weights.model, announced->second.newest(), *since});
            }
        }
    }
    return m_reports.isLikelyIsolated(now) ? std::vector<OrphanedEngine>() : orphaned;
}

std::map<std::string, WeightsGoal> RelayFleet::weightsGoals() const
{
    std::map<std::string, WeightsGoal> goals;
    for (const auto &[model, history] : m_weights) {
        goals[model] = {history.newest(), history.newestAnnouncedAt(), {}};
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
    return m_transfers.caches().stores();
}

void RelayFleet::estimateWait(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    const std::optional<EngineQueue> queue = m_reports.queue(choice.id, now);
    if (!queue.has_value()) {
        return;
    }
    static const WaitEstimate noEstimate;
    const auto estimate = m_estimates.find(query.route);
    choice.waiting = queue->waiting;
    choice.reportAge = queue->reportAge;
    const WaitEstimate &waits = estimate == m_estimates.end() ? noEstimate : estimate->second;
    choice.expectedWait = waits.expectedWait(choice.waiting, now);
    choice.acceptableWait = waits.acceptableWait(query.latencyTarget);
}

// An engine whose queue is stalled, for instance because its memory is full, may start a request seconds after it arrived, when its weights may no longer be
// used. This exclusion keeps most requests away from such engines; those that still get there are called back.
void RelayFleet::excludeLateStarters(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    const std::optional<Core::TimePoint> until = latestStart(*choice.weightsVersion, weightsHistory(query), m_weightsLimits);
    if (!until.has_value() || EngineReports::startsInTimeAnywhere(*until, now)) {
        return;
    }
    for (const auto &[id, incarnation] : m_incarnations) {
        if (m_reports.mayStartLate(id, m_chooser.unansweredWork(id), *until, now)) {
            choice.route.excluded.push_back(id);
        }
    }
}

const WeightsHistory &RelayFleet::weightsHistory(const FleetQuery &query) const
{
    static const WeightsHistory emptyHistory;
    const auto history = m_weights.find(query.prompt->model);
    return history == m_weights.end() ? emptyHistory : history->second;
}

RouteDecision RelayFleet::candidates(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    RouteQuery &route = choice.route;
    route.softwareVersion = query.softwareVersion;
    if (query.onlyServer.has_value()) {
        route.only = backendServerId(*query.onlyServer);
    }
    for (const std::string &id : query.excluded) {
        route.excluded.push_back(backendServerId(id));
    }
    if (query.needsTimelyReport) {
        m_reports.addLate(route.excluded);
    }
    if (query.prompt == nullptr) {
        return m_chooser.choose(route, now);
    }
    const std::size_t tried = route.excluded.size();
    excludeLateStarters(choice, query, now);
    const std::size_t usable = route.excluded.size();
    if (usable - tried == m_incarnations.size()) {
        // Searching all candidates in vain takes time quadratic in their number.
        return {};
    }
    m_reports.addSilent(route.excluded, now);
    const std::size_t heard = route.excluded.size();
    m_reports.addBusyWithWeights(route.excluded, query.prompt->maximumOutputTokens, now);
    RouteDecision decision = m_chooser.choose(route, now);
    // An engine that is busy with weights is better than none, and so is, after these, a silent one.
    for (const std::size_t excluded : {heard, usable}) {
        if (decision.candidates.empty() && route.excluded.size() > excluded) {
            route.excluded.resize(excluded);
            decision = m_chooser.choose(route, now);
            choice.isBusyWithWeights = true;
        }
    }
    if (isPlacedBySpeed(choice, query)) {
        setExpectedSpeed(decision, query, now);
    }
    return decision;
}

// Short shared parts are computed quickly anywhere. Prompts with long ones stay where these are cached: if all went to the fast engines, their parts would be
// computed again there and evict others.
bool RelayFleet::isPlacedBySpeed(const FleetChoice &choice, const FleetQuery &query) const
{
    return m_pace.namesPace(query.service) && !PromptTransfers::hasLongSharedParts(choice);
}

void RelayFleet::setExpectedSpeed(RouteDecision &decision, const FleetQuery &query, Core::TimePoint now) const
{
    const auto pauses = query.pauseTarget > microseconds(0) ? m_pauses.find(query.route) : m_pauses.end();
    for (RouteCandidate &candidate : decision.candidates) {
        candidate.slowness = m_pace.slowness(candidate.id, now);
        candidate.lastingSlowness = m_pace.lastingSlowness(candidate.id, now);
        candidate.lateFraction = pauses == m_pauses.end() ? 0 : pauses->second.lateFraction(candidate.lastingSlowness, query.pauseTarget);
    }
}

void RelayFleet::complete(FleetChoice &choice, const RouteCandidate &best, const FleetQuery &query, Core::TimePoint now) const
{
    const BackendServer *server = m_chooser.server(best.id);
    choice.id = best.id;
    choice.serverId = server->name;
    choice.address = server->endpoint;
    choice.incarnation = server->incarnation;
    choice.softwareVersion = server->softwareVersion;
    choice.limit = m_limits.limit(server->name);
    choice.slowness = m_pace.namesPace(query.service) ? std::optional(m_pace.slowness(best.id, now)) : std::nullopt;
    choice.lastingSlowness = m_pace.lastingSlowness(best.id, now);
    choice.lateFraction = best.lateFraction;
    if (query.prompt == nullptr) {
        choice.work = plainCallWork;
        return;
    }
    choice.work = PromptTransfers::work(best, *query.prompt);
    choice.warmParts = best.warmPieces;
    const WeightsHistory &history = weightsHistory(query);
    const std::optional<Core::TimePoint> outdated = history.outdatedSince(*choice.weightsVersion);
    if (outdated.has_value() && *outdated != Core::TimePoint::min()) {
        choice.outdatedFor = std::chrono::duration_cast<milliseconds>(now - *outdated);
    }
    m_transfers.planTransfers(choice, query, history, m_chooser, now);
    estimateWait(choice, query, now);
}

std::optional<FleetChoice> RelayFleet::choosePlain(const FleetQuery &query, Core::TimePoint now) const
{
    FleetChoice choice;
    choice.routeName = query.route;
    choice.route.service = query.service;
    choice.route.root = PrefixKey(query.randomValue);
    const std::vector<RouteCandidate> found = plainCandidates(choice, query, now);
    if (found.empty()) {
        return std::nullopt;
    }
    complete(choice, m_pace.namesPace(query.service) ? soonest(found, query, now) : found.front(), query, now);
    choice.expectedDelay = m_reportedLoads.expectedDelay(choice.id, unansweredCalls(choice.id), now);
    return choice;
}

// A service that names no pace is searched once.
std::vector<RouteCandidate> RelayFleet::plainCandidates(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const
{
    const auto isFull = [&](const RouteCandidate &candidate) {
        return m_reportedLoads.isFull(candidate.id, unansweredCalls(candidate.id), now);
    };
    std::vector<RouteCandidate> found;
    for (int search = 0; search < (m_pace.namesPace(query.service) ? maximumSearches : 1); ++search) {
        const std::vector<RouteCandidate> further = candidates(choice, query, now).candidates;
        found.insert(found.end(), further.begin(), further.end());
        if (further.empty() || !std::all_of(further.begin(), further.end(), isFull)) {
            break;
        }
        for (const RouteCandidate &candidate : further) {
            choice.route.excluded.push_back(candidate.id);
        }
    }
    return found;
}

RouteCandidate RelayFleet::soonest(const std::vector<RouteCandidate> &candidates, const FleetQuery &query, Core::TimePoint now) const
{
    std::vector<PlainCandidate> rated;
    for (const RouteCandidate &candidate : candidates) {
        const std::uint32_t unanswered = unansweredCalls(candidate.id);
        rated.push_back({m_pace.slowness(candidate.id, now),
            m_reportedLoads.expectedDelay(candidate.id, unanswered, now),
            m_reportedLoads.isFull(candidate.id, unanswered, now),
            unanswered == 0 && m_pace.isDueForMeasurement(candidate.id, now)});
    }
    return candidates[soonestCandidate(rated, query.randomValue)];
}

std::uint32_t RelayFleet::unansweredCalls(BackendServerId id) const
{
    return static_cast<std::uint32_t>(m_chooser.unansweredWork(id) / plainCallWork);
}

std::optional<FleetChoice> RelayFleet::chooseOn(std::uint64_t weights, const FleetQuery &query, Core::TimePoint now) const
{
    FleetChoice choice;
    choice.routeName = query.route;
    choice.weightsVersion = weights;
    choice.latencyTarget = query.latencyTarget;
    describePrompt(choice, query);
    if (m_transfers.isStorable(choice)) {
        choice.route.homeDomain = m_homeDomains.homeOf(query.service, query.prompt->model, choice.route.keys.back());
    }
    if (isPlacedBySpeed(choice, query)) {
        choice.route.extraRandomServers = randomServersForSpeed;
    }
    const RouteDecision decision = candidates(choice, query, now);
    if (decision.candidates.empty()) {
        return std::nullopt;
    }
    const bool isFirstBest = choice.parts.empty() && !isPlacedBySpeed(choice, query);
    complete(choice, isFirstBest ? decision.candidates.front() : m_transfers.cheapest(decision, choice, now), query, now);
    return choice;
}

bool RelayFleet::isAcceptable(const FleetChoice &choice)
{
    return !choice.isBusyWithWeights && choice.expectedWait.value_or(microseconds(0)) <= choice.acceptableWait;
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
    syncWithRegister();
    const std::vector<std::string> excluded = unavailable(now);
    if (excluded.empty()) {
        return chooseFor(query, now);
    }
    FleetQuery remaining = query;
    remaining.excluded.insert(remaining.excluded.end(), excluded.begin(), excluded.end());
    std::optional<FleetChoice> choice = chooseFor(remaining, now);
    if (choice.has_value()) {
        choice->limitedServers = static_cast<std::uint32_t>(excluded.size());
    }
    return choice;
}

std::optional<FleetChoice> RelayFleet::chooseFor(const FleetQuery &query, Core::TimePoint now) const
{
    if (query.prompt == nullptr) {
        return choosePlain(query, now);
    }
    const auto versions = m_versions.find({query.service, query.prompt->model});
    if (versions == m_versions.end()) {
        return std::nullopt;
    }
    const WeightsHistory &history = weightsHistory(query);
    const auto preferred = chooseWeights(versions->second, history, m_weightsLimits, now, query.randomValue);
    if (!preferred.has_value()) {
        return std::nullopt;
    }
    std::optional<FleetChoice> best = chooseOn(*preferred, query, now);
    if (best.has_value() && isAcceptable(*best)) {
        return best;
    }
    for (const std::uint64_t weights : usableWeights(versions->second, history, m_weightsLimits, now)) {
        std::optional<FleetChoice> other = weights == *preferred ? std::nullopt : chooseOn(weights, query, now);
        if (other.has_value() && (!best.has_value() || isBetter(*other, *best))) {
            best = std::move(other);
        }
        if (best.has_value() && isAcceptable(*best)) {
            break;
        }
    }
    return best;
}

bool RelayFleet::isWaitingToLoad(const FleetChoice &choice, Core::TimePoint now) const
{
    return m_reports.isWaitingToLoad(choice.id, now);
}

bool RelayFleet::isSilent(const FleetChoice &choice, Core::TimePoint now) const
{
    return m_reports.isSilent(choice.id, now);
}

std::size_t RelayFleet::silentCount(Core::TimePoint now) const
{
    return m_reports.silentCount(now);
}

std::optional<milliseconds> RelayFleet::reportAge(const FleetChoice &choice, Core::TimePoint now) const
{
    return m_reports.reportAge(choice.id, now);
}

std::optional<Core::TimePoint> RelayFleet::callBackTime(const FleetChoice &choice, const std::string &model) const
{
    const auto history = m_weights.find(model);
    if (history == m_weights.end() || !choice.weightsVersion.has_value()) {
        return std::nullopt;
    }
    const std::optional<Core::TimePoint> until = latestStart(*choice.weightsVersion, history->second, m_weightsLimits);
    return until.has_value() ? std::optional(*until - callBackMargin) : std::nullopt;
}

void RelayFleet::recordSent(FleetChoice &choice, Core::TimePoint now)
{
    choice.sentAt = now;
    choice.weightsNews = m_register.lastWeightsNews();
    m_limits.recordSent(choice.serverId, now);
    m_chooser.recordDispatch(choice.id, choice.route, choice.work, now);
    m_reports.recordSent(choice.id, now);
    m_transfers.caches().recordSent(choice.id, choice.parts, now);
}

void RelayFleet::recordActivity(const FleetChoice &choice, Core::TimePoint now)
{
    if (!isOutdated(choice)) {
        m_reports.recordActivity(choice.id, now);
    }
}

void RelayFleet::recordAnswered(const FleetChoice &choice, Core::TimePoint now)
{
    if (isOutdated(choice)) {
        return;
    }
    m_failures.erase(choice.id);
    m_reports.recordAnswered(choice.id, now);
    m_chooser.recordReply(choice.id, choice.route, static_cast<std::uint32_t>(choice.parts.size()), choice.work, now);
    if (choice.expectedWait.has_value()) {
        m_estimates[choice.routeName].addSample(choice.waiting, std::chrono::duration_cast<microseconds>(now - choice.sentAt), now);
    }
}

void RelayFleet::recordFailure(const FleetChoice &choice, ServerFailure failure, Core::TimePoint now)
{
    if (isOutdated(choice)) {
        return;
    }
    RouteRefusal refusal;
    refusal.isUnavailable = true;
    refusal.retryAfter = failure == ServerFailure::Full ? fullPause : unreachablePause * (1 << std::min(m_failures[choice.id]++, maxPauseDoublings));
    m_chooser.recordRefusal(choice.id, choice.route, refusal, choice.work, now);
}

void RelayFleet::recordAbandoned(const FleetChoice &choice)
{
    if (!isOutdated(choice)) {
        m_chooser.recordNoAnswer(choice.id, choice.work);
    }
}

void RelayFleet::updateWeights(const FleetChoice &choice, const std::string &model, std::uint64_t version)
{
    if (!isOutdated(choice)) {
        m_register.updateWeights(choice.serverId, model, version, {WeightsSource::Answer, choice.weightsNews});
    }
}

RunTimes &RelayFleet::runTimes()
{
    return m_runTimes;
}

void RelayFleet::recordRunTime(const FleetChoice &choice, Core::TimePoint now)
{
    m_runTimes.record(choice.routeName, std::chrono::duration_cast<std::chrono::milliseconds>(now - choice.sentAt), now);
}

bool RelayFleet::markLeaving(const FleetChoice &choice)
{
    return !isOutdated(choice) && m_register.markLeaving(choice.serverId);
}

void RelayFleet::markReplaced(const FleetChoice &choice)
{
    if (!isOutdated(choice)) {
        m_register.markReplaced(choice.serverId);
    }
}

} // namespace Verbena::Decisions
