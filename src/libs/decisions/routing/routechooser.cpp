#include "routechooser.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Verbena::Decisions {

using std::chrono::microseconds;

namespace {

// Minimum demand, in decayed requests, of a shared prefix: one recent request besides the current one. A lower demand does not show that
// other requests share the prefix.
constexpr double minimumSharedDemand = 0.7;
// Maximum demand per home, in multiples of the demand of an average backend server. A prefix with more demand is replaced by longer
// ones or gets several homes.
constexpr double maximumDemandPerHome = 1.0;
// Minimum demand, in decayed requests, of a prefix with several homes. In a large fleet one router sends each backend server less than one
// request within the time constant of the count, so without this limit a prompt that it sees once would exceed the demand per server.
constexpr double minimumHotDemand = 4;
// Factor by which demand falls from a shared prefix to the next longer one.
constexpr double branchFactor = 1.2;
constexpr std::size_t maximumHolderCandidates = 4;
constexpr std::size_t loadSamples = 4; // Random backend servers of which the least loaded becomes a candidate.
constexpr std::size_t firstExtraDraw = loadSamples + 1; // addLeastLoaded() draws with lower numbers.
constexpr std::size_t spareCount = 1;
constexpr std::size_t extraNeighbours = 4; // Looked up in addition, as the nearest backend servers may be unusable.
constexpr std::chrono::milliseconds idleWait{50}; // A backend server with a shorter expected wait counts as idle.
constexpr double tieMicroseconds = 1000; // Maximum random part of a score, which breaks ties.

} // namespace

RouteChooser::RouteChooser(RoutingOptions options)
    : m_options(options)
    , m_loads(options.hintLifetime)
    , m_prefixes(options.prefixTableSize)
{
}

void RouteChooser::setFleet(std::vector<BackendServer> servers)
{
    std::map<ModelVersion, std::vector<BackendServerId>> models;
    std::map<std::string, std::vector<BackendServerId>> services;
    std::map<std::pair<ModelVersion, std::string>, std::vector<BackendServerId>> domains;
    std::unordered_map<BackendServerId, BackendServer> updated;
    for (BackendServer &server : servers) {
        if (server.state == BackendServerState::Live) {
            for (const ModelVersion &version : server.served) {
                models[version].push_back(server.id);
                domains[{version, server.failureDomain}].push_back(server.id);
            }
            if (!server.service.empty()) {
                services[server.service].push_back(server.id);
            }
        }
        updated.emplace(server.id, std::move(server));
    }
    for (const auto &[id, server] : m_servers) {
        const auto current = updated.find(id);
        if (current == updated.end()) {
            m_loads.remove(id);
        } else if (server.incarnation != 0 && current->second.incarnation != server.incarnation) {
            m_loads.markRestarted(id, current->second.incarnation);
        }
    }
    m_servers = std::move(updated);
    setPools(m_models, models);
    setPools(m_services, services);
    m_domains.clear();
    for (const auto &[domain, ids] : domains) {
        m_domains[domain] = Placement(ids);
    }
}

template<typename Key>
void RouteChooser::setPools(std::map<Key, Pool> &pools, const std::map<Key, std::vector<BackendServerId>> &members)
{
    std::erase_if(pools, [&members](const auto &pool) { return !members.contains(pool.first); });
    for (const auto &[key, ids] : members) {
        pools[key].placement = Placement(ids);
    }
}

void RouteChooser::updateLoad(BackendServerId id, const LoadReport &report, Core::TimePoint now)
{
    if (m_servers.contains(id)) {
        m_loads.updateReport(id, report, now);
    }
}

void RouteChooser::recordDispatch(BackendServerId id, const RouteQuery &query, microseconds work, Core::TimePoint now)
{
    ++m_dispatches;
    if (!m_servers.contains(id)) {
        return;
    }
    m_loads.recordSent(id, work);
    if (Pool *pool = const_cast<Pool *>(poolFor(query))) {
        pool->demand.add(now);
    }
    for (const PrefixKey key : query.keys) {
        m_prefixes.recordRequest(key, now);
    }
    recordHolder(id, query, now);
}

void RouteChooser::recordReply(BackendServerId id, const RouteQuery &query, std::uint32_t, microseconds work, Core::TimePoint now)
{
    m_loads.recordAnswered(id, work);
    if (m_servers.contains(id)) {
        recordHolder(id, query, now);
    }
}

void RouteChooser::recordProbe(BackendServerId id, const RouteQuery &query, std::uint32_t warmPieces, const LoadReport &report, Core::TimePoint now)
{
    if (!m_servers.contains(id)) {
        return;
    }
    m_loads.updateReport(id, report, now);
    const PrefixHolder holder{id, m_loads.incarnation(id), now + m_options.holderLifetime};
    for (std::size_t piece = 0; piece < query.keys.size(); ++piece) {
        if (piece < warmPieces) {
            m_prefixes.setHolder(query.keys[piece], holder);
        } else {
            m_prefixes.removeHolder(query.keys[piece], id);
        }
    }
}

void RouteChooser::recordRefusal(BackendServerId id, const RouteQuery &query, const RouteRefusal &refusal, microseconds work, Core::TimePoint now)
{
    m_loads.recordAnswered(id, work);
    for (const PrefixKey key : query.keys) {
        m_prefixes.removeHolder(key, id);
    }
    if (!m_servers.contains(id)) {
        return;
    }
    if (refusal.isUnavailable) {
        m_loads.pause(id, now + (refusal.retryAfter > microseconds(0) ? refusal.retryAfter : m_options.refusalPause));
    }
    if (refusal.redirect.has_value() && m_servers.contains(*refusal.redirect)) {
        recordHolder(*refusal.redirect, query, now);
    }
}

void RouteChooser::recordNoAnswer(BackendServerId id, microseconds work)
{
    m_loads.recordAnswered(id, work);
}

void RouteChooser::setHomeCount(PrefixKey key, std::uint32_t homeCount, Core::TimePoint validUntil)
{
    m_prefixes.setHomeCount(key, homeCount, validUntil);
}

// An agent caches or computes every prefix of a request that it received, regardless of how much it reported as warm.
void RouteChooser::recordHolder(BackendServerId id, const RouteQuery &query, Core::TimePoint now)
{
    const PrefixHolder holder{id, m_loads.incarnation(id), now + m_options.holderLifetime};
    for (const PrefixKey key : query.keys) {
        m_prefixes.setHolder(key, holder);
    }
}

const RouteChooser::Pool *RouteChooser::poolFor(const RouteQuery &query) const
{
    if (!query.service.empty()) {
        const auto found = m_services.find(query.service);
        return found == m_services.end() ? nullptr : &found->second;
    }
    const auto found = m_models.find(query.version);
    return found == m_models.end() ? nullptr : &found->second;
}

// The homes of a prompt are in its own failure domain as long as that contains a backend server for the model version.
const Placement &RouteChooser::homePlacement(const Search &search) const
{
    const auto domain = m_domains.find({search.query.version, search.query.homeDomain});
    return domain == m_domains.end() ? search.pool.placement : domain->second;
}

RouteDecision RouteChooser::choose(const RouteQuery &query, Core::TimePoint now) const
{
    const Pool *pool = poolFor(query);
    if (pool == nullptr) {
        return {};
    }
    Search search{query, now, *pool, {}};
    if (query.only.has_value()) {
        addMember(search, *query.only, CandidateOrigin::Load);
        return rankCandidates(std::move(search));
    }
    const SharedPrefix home = homePrefix(search);
    addHomes(search, home, CandidateOrigin::Home);
    addSpares(search, home);
    if (const std::optional<SharedPrefix> deeper = deeperSharedPrefix(search, home)) {
        addHomes(search, *deeper, CandidateOrigin::DeepHome);
    }
    addHolders(search);
    addLeastLoaded(search);
    addRandomServers(search);
    if (search.candidates.empty()) {
        addFallback(search);
    }
    return rankCandidates(std::move(search));
}

RouteDecision RouteChooser::chooseAmong(const RouteDecision &candidates, const RouteQuery &query, Core::TimePoint now) const
{
    const Pool *pool = poolFor(query);
    if (pool == nullptr) {
        return {};
    }
    Search search{query, now, *pool, {}};
    for (const RouteCandidate &candidate : candidates.candidates) {
        addMember(search, candidate.id, candidate.origin);
    }
    return search.candidates.empty() ? choose(query, now) : rankCandidates(std::move(search));
}

RouteDecision RouteChooser::rankCandidates(Search search) const
{
    for (RouteCandidate &candidate : search.candidates) {
        evaluate(candidate, search);
    }
    std::sort(search.candidates.begin(), search.candidates.end(), [](const RouteCandidate &left, const RouteCandidate &right) {
        return left.score != right.score ? left.score < right.score : left.id < right.id;
    });
    return applyOverloadLevels(std::move(search));
}

// Returns the shortest prefix that one backend server can serve, so that all requests that share it use the same cache. Each router sees
// the same fraction of the total demand, so all routers find nearly the same prefix without communication.
RouteChooser::SharedPrefix RouteChooser::homePrefix(const Search &search) const
{
    const std::vector<PrefixKey> &keys = search.query.keys;
    if (m_options.isPlacedByWholePrompt && !keys.empty()) {
        return {keys.size(), keys.back(), homeCount(search, m_prefixes.demand(keys.back(), search.now))};
    }
    SharedPrefix prefix{0, keys.empty() ? search.query.root : keys.front(), 1};
    for (std::size_t piece = 0; piece < keys.size(); ++piece) {
        const double demand = m_prefixes.demand(keys[piece], search.now);
        if (demand < minimumSharedDemand) {
            break;
        }
        prefix = {piece + 1, keys[piece], homeCount(search, demand)};
        if (prefix.homeCount == 1) {
            break;
        }
    }
    return prefix;
}

// Returns the number of homes with which each has at most the demand of an average backend server.
std::size_t RouteChooser::homeCount(const Search &search, double demand) const
{
    const double perServer = search.pool.demand.at(search.now) / static_cast<double>(search.pool.placement.members().size());
    if (demand < minimumHotDemand || demand <= perServer * maximumDemandPerHome) {
        return 1;
    }
    const double homes = std::ceil(demand / (perServer * maximumDemandPerHome));
    return static_cast<std::size_t>(std::clamp(homes, 1.0, static_cast<double>(m_options.maximumHomes)));
}

std::optional<RouteChooser::SharedPrefix> RouteChooser::deeperSharedPrefix(const Search &search, const SharedPrefix &prefix) const
{
    const std::vector<PrefixKey> &keys = search.query.keys;
    const double above = m_prefixes.demand(prefix.key, search.now);
    for (std::size_t piece = prefix.pieces; piece < keys.size(); ++piece) {
        const double demand = m_prefixes.demand(keys[piece], search.now);
        if (demand * branchFactor < above) {
            return demand < minimumSharedDemand ? std::nullopt : std::optional(SharedPrefix{piece + 1, keys[piece], 1});
        }
    }
    return std::nullopt;
}

bool RouteChooser::isUsable(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const
{
    const BackendServer *candidate = query.softwareVersion.has_value() ? server(id) : nullptr;
    if (candidate != nullptr && candidate->softwareVersion != *query.softwareVersion) {
        return false;
    }
    return std::find(query.excluded.begin(), query.excluded.end(), id) == query.excluded.end() && !m_loads.isPaused(id, now);
}

bool RouteChooser::addCandidate(Search &search, BackendServerId id, CandidateOrigin origin, std::size_t assumedPieces) const
{
    const auto isSame = [id](const RouteCandidate &candidate) {
        return candidate.id == id;
    };
    if (std::any_of(search.candidates.begin(), search.candidates.end(), isSame) || !isUsable(id, search.query, search.now)) {
        return false;
    }
    RouteCandidate candidate;
    candidate.id = id;
    candidate.origin = origin;
    candidate.warmPieces = std::max(static_cast<std::uint32_t>(assumedPieces), warmPieces(id, search.query, search.now));
    search.candidates.push_back(candidate);
    return true;
}

bool RouteChooser::addMember(Search &search, BackendServerId id, CandidateOrigin origin) const
{
    const std::vector<BackendServerId> &members = search.pool.placement.members();
    return std::binary_search(members.begin(), members.end(), id) && addCandidate(search, id, origin, 0);
}

// Holders of the longest prefix come first, as they save the most prefill.
void RouteChooser::addHolders(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.placement.members();
    std::size_t added = 0;
    for (std::size_t pieces = search.query.keys.size(); pieces > 0 && added < maximumHolderCandidates; --pieces) {
        const PrefixRecord *record = m_prefixes.find(search.query.keys[pieces - 1]);
        if (record == nullptr) {
            continue;
        }
        for (const PrefixHolder &holder : record->holders) {
            const bool isWarm = search.now < holder.validUntil && holder.incarnation == m_loads.incarnation(holder.id);
            if (isWarm && added < maximumHolderCandidates && std::binary_search(members.begin(), members.end(), holder.id)) {
                added += addCandidate(search, holder.id, CandidateOrigin::Holder, pieces) ? 1 : 0;
            }
        }
    }
}

// Without probes a home counts as warm even if it is not: the missing pieces have to be computed once anyway, preferably where the next
// request will look for them. With probes the least loaded of homes and spares gets a cold prefix, and later requests find it there.
void RouteChooser::addHomes(Search &search, const SharedPrefix &prefix, CandidateOrigin origin) const
{
    std::size_t remaining = prefix.homeCount;
    for (const BackendServerId id : homePlacement(search).nearest(prefix.key, prefix.homeCount + extraNeighbours)) {
        if (remaining > 0 && isUsable(id, search.query, search.now)) {
            --remaining;
            addCandidate(search, id, origin, m_options.isProbing || origin != CandidateOrigin::Home ? 0 : prefix.pieces);
        }
    }
}

// The overflow of the homes goes to the same spare on every router.
void RouteChooser::addSpares(Search &search, const SharedPrefix &prefix) const
{
    std::size_t remaining = spareCount;
    for (const BackendServerId id : homePlacement(search).nearest(prefix.key, prefix.homeCount + extraNeighbours)) {
        remaining -= remaining > 0 && addCandidate(search, id, CandidateOrigin::Spare, 0) ? 1 : 0;
    }
}

// Adds the least loaded of a few random backend servers; those of failure domains without a candidate take precedence.
void RouteChooser::addLeastLoaded(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.placement.members();
    const auto isNewDomain = [&](BackendServerId id) {
        const std::string &domain = server(id)->failureDomain;
        return std::none_of(
            search.candidates.begin(), search.candidates.end(), [&](const RouteCandidate &candidate) { return server(candidate.id)->failureDomain == domain; });
    };
    std::optional<BackendServerId> best;
    for (std::size_t i = 0; i < loadSamples; ++i) {
        const BackendServerId id = members[randomValue(search.query, i) % members.size()];
        if (!isUsable(id, search.query, search.now)) {
            continue;
        }
        const auto wait = [&](BackendServerId other) {
            return m_loads.expectedWait(other, search.now);
        };
        if (!best.has_value() || std::pair(!isNewDomain(id), wait(id)) < std::pair(!isNewDomain(*best), wait(*best))) {
            best = id;
        }
    }
    if (best.has_value()) {
        addCandidate(search, *best, CandidateOrigin::Load, 0);
    }
}

void RouteChooser::addRandomServers(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.placement.members();
    for (std::size_t i = 0; i < search.query.extraRandomServers; ++i) {
        addCandidate(search, members[randomValue(search.query, firstExtraDraw + i) % members.size()], CandidateOrigin::Load, 0);
    }
}

// Adds the first usable backend server, searching all of them from a random position. Called only if there is no other candidate.
void RouteChooser::addFallback(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.placement.members();
    const std::size_t first = randomValue(search.query, loadSamples) % members.size();
    for (std::size_t i = 0; i < members.size() && search.candidates.empty(); ++i) {
        addCandidate(search, members[(first + i) % members.size()], CandidateOrigin::Load, 0);
    }
}

std::uint32_t RouteChooser::warmPieces(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const
{
    for (std::size_t pieces = query.keys.size(); pieces > 0; --pieces) {
        const PrefixRecord *record = m_prefixes.find(query.keys[pieces - 1]);
        if (record == nullptr) {
            continue;
        }
        for (const PrefixHolder &holder : record->holders) {
            if (holder.id == id && now < holder.validUntil && holder.incarnation == m_loads.incarnation(id)) {
                return static_cast<std::uint32_t>(pieces);
            }
        }
    }
    return 0;
}

void RouteChooser::evaluate(RouteCandidate &candidate, const Search &search) const
{
    const RouteQuery &query = search.query;
    const auto pieces = static_cast<std::uint32_t>(query.keys.size());
    const microseconds perPiece = m_loads.prefillPerPiece(candidate.id, m_options.prefillPerPiece);
    const bool isImportCheaper = m_options.importPerPiece > microseconds(0) && m_options.importPerPiece < perPiece;
    if (isImportCheaper && query.storedPieces > candidate.warmPieces) {
        candidate.importedPieces = std::min(query.storedPieces, pieces) - candidate.warmPieces;
    }
    candidate.wait = m_loads.expectedWait(candidate.id, search.now);
    candidate.import = candidate.importedPieces * m_options.importPerPiece;
    candidate.prefill = (pieces - candidate.warmPieces - candidate.importedPieces) * perPiece;
    const RoutingWeights &weights = m_options.weights;
    const auto timeToFirstToken = static_cast<double>((candidate.wait + candidate.import + candidate.prefill).count());
    const auto recomputation = static_cast<double>(candidate.prefill.count());
    const auto tie = static_cast<double>(randomValue(query, static_cast<std::uint64_t>(candidate.id)) % 1024) / 1024;
    candidate.score = weights.timeToFirstToken * timeToFirstToken + weights.recomputation * recomputation + tie * tieMicroseconds;
}

// Refusing a request in the router costs no work of a backend server. At other backend servers than the best its prompt is cold and would
// evict other prefixes, so only an idle one may replace the best: this spreads a hot prefix while there is capacity and refuses it otherwise.
RouteDecision RouteChooser::applyOverloadLevels(Search search) const
{
    std::vector<RouteCandidate> &candidates = search.candidates;
    const auto isRefusing = [&](const RouteCandidate &candidate) {
        const std::uint32_t level = m_loads.overloadLevel(candidate.id, search.now);
        return level != 0 && search.query.mark >= level;
    };
    if (candidates.empty() || !isRefusing(candidates.front())) {
        return {std::move(candidates), false};
    }
    const auto idle = std::find_if(
        candidates.begin(), candidates.end(), [&](const RouteCandidate &candidate) { return candidate.wait < idleWait && !isRefusing(candidate); });
    if (idle == candidates.end()) {
        return {std::move(candidates), true};
    }
    std::rotate(candidates.begin(), idle, std::next(idle));
    return {std::move(candidates), false};
}

microseconds RouteChooser::expectedPrefill(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const
{
    const auto missing = static_cast<std::uint32_t>(query.keys.size()) - warmPieces(id, query, now);
    return missing * m_loads.prefillPerPiece(id, m_options.prefillPerPiece);
}

// Computed by hashing: reproducible for a seed and different for each request.
std::uint64_t RouteChooser::randomValue(const RouteQuery &query, std::uint64_t number) const
{
    const std::array<std::uint64_t, 3> parts{m_dispatches, static_cast<std::uint64_t>(query.root), number};
    return XXH3_64bits_withSeed(parts.data(), sizeof parts, m_options.seed);
}

microseconds RouteChooser::unansweredWork(BackendServerId id) const
{
    return m_loads.unansweredWork(id);
}

const BackendServer *RouteChooser::server(BackendServerId id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace Verbena::Decisions
