#include "routechooser.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Verbena::Decisions {

using std::chrono::microseconds;

namespace {

// Seen at least twice of late: anything less says nothing about what other requests share.
constexpr double sharedDemand = 0.7;
// Of the work of an average backend server: a prefix in more demand is handed over to deeper ones, or shared by several homes.
constexpr double homePart = 1.0;
// Requests that say something of how much a prefix is asked for. In a large fleet a router sends each backend server less than one request in the time that
// is counted, and each prompt that it sees once would seem to be in more demand than that.
constexpr double leastHotDemand = 4;
// Where demand falls by this factor, a shared prefix ends and a deeper one begins.
constexpr double branchFactor = 1.2;
constexpr std::size_t maximumHolders = 4;
constexpr std::size_t loadDraws = 4;
constexpr std::size_t spareCount = 1;
constexpr std::size_t spareRanks = 4; ///< Looked up on top, in case that the first ones may not be used.
constexpr std::chrono::milliseconds idleWait{50};
constexpr double tieMicroseconds = 1000;

} // namespace

RouteChooser::RouteChooser(RoutingOptions options)
    : m_options(options)
    , m_loads(options.hintLifetime)
    , m_keys(options.keyTableSize)
{
}

void RouteChooser::setFleet(std::vector<BackendServer> servers)
{
    std::map<ModelVersion, std::vector<BackendServerId>> models;
    std::map<std::string, std::vector<BackendServerId>> services;
    std::map<std::pair<ModelVersion, std::string>, std::vector<BackendServerId>> domains;
    std::unordered_map<BackendServerId, BackendServer> known;
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
        known.emplace(server.id, std::move(server));
    }
    for (const auto &[id, server] : m_servers) {
        const auto now = known.find(id);
        if (now == known.end()) {
            m_loads.remove(id);
        } else if (server.incarnation != 0 && now->second.incarnation != server.incarnation) {
            m_loads.restart(id, now->second.incarnation);
        }
    }
    m_servers = std::move(known);
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

void RouteChooser::noteLoad(BackendServerId id, const LoadReport &report, Core::TimePoint now)
{
    if (m_servers.contains(id)) {
        m_loads.noteReport(id, report, now);
    }
}

void RouteChooser::noteDispatched(BackendServerId id, const RouteQuery &query, microseconds work, Core::TimePoint now)
{
    ++m_dispatches;
    if (!m_servers.contains(id)) {
        return;
    }
    m_loads.noteSent(id, work);
    if (Pool *pool = const_cast<Pool *>(poolFor(query))) {
        pool->demand.add(now);
    }
    for (const PrefixKey key : query.keys) {
        m_keys.noteDemand(key, now);
    }
    noteHolder(id, query, now);
}

void RouteChooser::noteReply(BackendServerId id, const RouteQuery &query, std::uint32_t, microseconds work, Core::TimePoint now)
{
    m_loads.noteAnswered(id, work);
    if (m_servers.contains(id)) {
        noteHolder(id, query, now);
    }
}

void RouteChooser::noteProbe(BackendServerId id, const RouteQuery &query, std::uint32_t warmPieces, const LoadReport &report, Core::TimePoint now)
{
    if (!m_servers.contains(id)) {
        return;
    }
    m_loads.noteReport(id, report, now);
    const PrefixHolder holder{id, m_loads.epoch(id), now + m_options.holderLifetime};
    for (std::size_t piece = 0; piece < query.keys.size(); ++piece) {
        if (piece < warmPieces) {
            m_keys.noteHolder(query.keys[piece], holder);
        } else {
            m_keys.forgetHolder(query.keys[piece], id);
        }
    }
}

void RouteChooser::noteRefusal(BackendServerId id, const RouteQuery &query, const RouteRefusal &refusal, microseconds work, Core::TimePoint now)
{
    m_loads.noteAnswered(id, work);
    for (const PrefixKey key : query.keys) {
        m_keys.forgetHolder(key, id);
    }
    if (!m_servers.contains(id)) {
        return;
    }
    if (refusal.isUnavailable) {
        m_loads.pause(id, now + (refusal.retryAfter > microseconds(0) ? refusal.retryAfter : m_options.refusalPause));
    }
    if (refusal.redirect.has_value() && m_servers.contains(*refusal.redirect)) {
        noteHolder(*refusal.redirect, query, now);
    }
}

void RouteChooser::noteNoAnswer(BackendServerId id, microseconds work)
{
    m_loads.noteAnswered(id, work);
}

void RouteChooser::noteHeat(PrefixKey key, std::uint32_t width, Core::TimePoint deadline)
{
    m_keys.noteWidth(key, width, deadline);
}

// The requests that an agent received it computes or has, whatever it found warm.
void RouteChooser::noteHolder(BackendServerId id, const RouteQuery &query, Core::TimePoint now)
{
    const PrefixHolder holder{id, m_loads.epoch(id), now + m_options.holderLifetime};
    for (const PrefixKey key : query.keys) {
        m_keys.noteHolder(key, holder);
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

// Where the homes of the prompt are: in its own failure domain as long as that has any backend server for it.
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
    const Level home = homeLevel(search);
    addHomes(search, home, CandidateOrigin::Home);
    addSpares(search, home);
    if (const std::optional<Level> deeper = deeperLevel(search, home)) {
        addHomes(search, *deeper, CandidateOrigin::DeepHome);
    }
    addHolders(search);
    addByLoad(search);
    if (search.candidates.empty()) {
        addAny(search);
    }
    return ranked(std::move(search));
}

RouteDecision RouteChooser::chooseAmong(const RouteDecision &candidates, const RouteQuery &query, Core::TimePoint now) const
{
    const Pool *pool = poolFor(query);
    if (pool == nullptr) {
        return {};
    }
    Search search{query, now, *pool, {}};
    const std::vector<BackendServerId> &members = pool->placement.members();
    for (const RouteCandidate &candidate : candidates.candidates) {
        if (std::binary_search(members.begin(), members.end(), candidate.id)) {
            addCandidate(search, candidate.id, candidate.origin, 0);
        }
    }
    return search.candidates.empty() ? choose(query, now) : ranked(std::move(search));
}

RouteDecision RouteChooser::ranked(Search search) const
{
    for (RouteCandidate &candidate : search.candidates) {
        weigh(candidate, search);
    }
    std::sort(search.candidates.begin(), search.candidates.end(), [](const RouteCandidate &left, const RouteCandidate &right) {
        return left.score != right.score ? left.score < right.score : left.id < right.id;
    });
    return withoutOverloaded(std::move(search));
}

// The shallowest prefix that fits one backend server: so all that share it meet in one cache. Each router sees the same part of the
// whole demand, so all find nearly the same level without a word between them.
RouteChooser::Level RouteChooser::homeLevel(const Search &search) const
{
    const std::vector<PrefixKey> &keys = search.query.keys;
    if (m_options.isPlacedByWholePrompt && !keys.empty()) {
        return {keys.size(), keys.back(), homeCount(search, m_keys.demand(keys.back(), search.now))};
    }
    Level level{0, keys.empty() ? search.query.root : keys.front(), 1};
    for (std::size_t piece = 0; piece < keys.size(); ++piece) {
        const double demand = m_keys.demand(keys[piece], search.now);
        if (demand < sharedDemand) {
            break;
        }
        level = {piece + 1, keys[piece], homeCount(search, demand)};
        if (level.width == 1) {
            break;
        }
    }
    return level;
}

// So many that each has the work of an average backend server at most.
std::size_t RouteChooser::homeCount(const Search &search, double demand) const
{
    const double perServer = search.pool.demand.at(search.now) / static_cast<double>(search.pool.placement.members().size());
    if (demand < leastHotDemand || demand <= perServer * homePart) {
        return 1;
    }
    const double homes = std::ceil(demand / (perServer * homePart));
    return static_cast<std::size_t>(std::clamp(homes, 1.0, static_cast<double>(m_options.maximumHomes)));
}

std::optional<RouteChooser::Level> RouteChooser::deeperLevel(const Search &search, const Level &level) const
{
    const std::vector<PrefixKey> &keys = search.query.keys;
    const double above = m_keys.demand(level.key, search.now);
    for (std::size_t piece = level.pieces; piece < keys.size(); ++piece) {
        const double demand = m_keys.demand(keys[piece], search.now);
        if (demand * branchFactor < above) {
            return demand < sharedDemand ? std::nullopt : std::optional(Level{piece + 1, keys[piece], 1});
        }
    }
    return std::nullopt;
}

bool RouteChooser::isUsable(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const
{
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

// The deepest key with a holder names the backend servers that can save most.
void RouteChooser::addHolders(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.placement.members();
    std::size_t added = 0;
    for (std::size_t pieces = search.query.keys.size(); pieces > 0 && added < maximumHolders; --pieces) {
        const KeyRecord *record = m_keys.find(search.query.keys[pieces - 1]);
        if (record == nullptr) {
            continue;
        }
        for (const PrefixHolder &holder : record->holders) {
            const bool isWarm = search.now < holder.deadline && holder.epoch == m_loads.epoch(holder.id);
            if (isWarm && added < maximumHolders && std::binary_search(members.begin(), members.end(), holder.id)) {
                added += addCandidate(search, holder.id, CandidateOrigin::Holder, pieces) ? 1 : 0;
            }
        }
    }
}

// Without probes a home counts as warm even before it is: what is missing has to be computed once, and best where the next request
// will look for it. With probes the least loaded of homes and spares takes a cold prefix, and the others find it there.
void RouteChooser::addHomes(Search &search, const Level &level, CandidateOrigin origin) const
{
    std::size_t left = level.width;
    for (const BackendServerId id : homePlacement(search).ranks(level.key, level.width + spareRanks)) {
        if (left > 0 && isUsable(id, search.query, search.now)) {
            --left;
            addCandidate(search, id, origin, m_options.isProbing || origin != CandidateOrigin::Home ? 0 : level.pieces);
        }
    }
}

// Where the overflow of the homes goes on every router.
void RouteChooser::addSpares(Search &search, const Level &level) const
{
    std::size_t left = spareCount;
    for (const BackendServerId id : homePlacement(search).ranks(level.key, level.width + spareRanks)) {
        left -= left > 0 && addCandidate(search, id, CandidateOrigin::Spare, 0) ? 1 : 0;
    }
}

// Of a few drawn at random the least loaded; those of failure domains that are not among the candidates go first.
void RouteChooser::addByLoad(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.placement.members();
    const auto isNewDomain = [&](BackendServerId id) {
        const std::string &domain = server(id)->failureDomain;
        return std::none_of(
            search.candidates.begin(), search.candidates.end(), [&](const RouteCandidate &candidate) { return server(candidate.id)->failureDomain == domain; });
    };
    std::optional<BackendServerId> best;
    for (std::size_t i = 0; i < loadDraws; ++i) {
        const BackendServerId id = members[draw(search.query, i) % members.size()];
        if (!isUsable(id, search.query, search.now)) {
            continue;
        }
        const auto wait = [&](BackendServerId other) {
            return m_loads.wait(other, search.now);
        };
        if (!best.has_value() || std::pair(!isNewDomain(id), wait(id)) < std::pair(!isNewDomain(*best), wait(*best))) {
            best = id;
        }
    }
    if (best.has_value()) {
        addCandidate(search, *best, CandidateOrigin::Load, 0);
    }
}

// Only if nothing else may be used: looks at all, from a place drawn at random.
void RouteChooser::addAny(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.placement.members();
    const std::size_t first = draw(search.query, loadDraws) % members.size();
    for (std::size_t i = 0; i < members.size() && search.candidates.empty(); ++i) {
        addCandidate(search, members[(first + i) % members.size()], CandidateOrigin::Load, 0);
    }
}

std::uint32_t RouteChooser::warmPieces(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const
{
    for (std::size_t pieces = query.keys.size(); pieces > 0; --pieces) {
        const KeyRecord *record = m_keys.find(query.keys[pieces - 1]);
        if (record == nullptr) {
            continue;
        }
        for (const PrefixHolder &holder : record->holders) {
            if (holder.id == id && now < holder.deadline && holder.epoch == m_loads.epoch(id)) {
                return static_cast<std::uint32_t>(pieces);
            }
        }
    }
    return 0;
}

void RouteChooser::weigh(RouteCandidate &candidate, const Search &search) const
{
    const RouteQuery &query = search.query;
    const auto pieces = static_cast<std::uint32_t>(query.keys.size());
    const microseconds perPiece = m_loads.prefillPerPiece(candidate.id, m_options.prefillPerPiece);
    const bool isImportCheaper = m_options.importPerPiece > microseconds(0) && m_options.importPerPiece < perPiece;
    if (isImportCheaper && query.keptPieces > candidate.warmPieces) {
        candidate.importedPieces = std::min(query.keptPieces, pieces) - candidate.warmPieces;
    }
    candidate.wait = m_loads.wait(candidate.id, search.now);
    candidate.import = candidate.importedPieces * m_options.importPerPiece;
    candidate.prefill = (pieces - candidate.warmPieces - candidate.importedPieces) * perPiece;
    const RoutingWeights &weights = m_options.weights;
    const auto first = static_cast<double>((candidate.wait + candidate.import + candidate.prefill).count());
    const auto again = static_cast<double>(candidate.prefill.count());
    const auto tie = static_cast<double>(draw(query, static_cast<std::uint64_t>(candidate.id)) % 1024) / 1024;
    candidate.score = weights.timeToFirstToken * first + weights.recomputation * again + tie * tieMicroseconds;
}

// Refusing here costs nothing. Elsewhere the prompt is cold and would push others out, so only an idle backend server takes it in place
// of the best: that spreads a hot prefix while there is room, and refuses it when there is none.
RouteDecision RouteChooser::withoutOverloaded(Search search) const
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

// Repeatable for a seed, and new for each request.
std::uint64_t RouteChooser::draw(const RouteQuery &query, std::uint64_t number) const
{
    const std::array<std::uint64_t, 3> parts{m_dispatches, static_cast<std::uint64_t>(query.root), number};
    return XXH3_64bits_withSeed(parts.data(), sizeof parts, m_options.seed);
}

microseconds RouteChooser::unanswered(BackendServerId id) const
{
    return m_loads.unanswered(id);
}

const BackendServer *RouteChooser::server(BackendServerId id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace Verbena::Decisions
