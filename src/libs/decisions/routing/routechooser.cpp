#include "routechooser.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace Verbena::Decisions {

using std::chrono::microseconds;

namespace {

// Seen at least twice of late: anything less says nothing about what other requests share.
constexpr double sharedDemand = 0.5;
// Where demand falls by this factor from one level to the next, a shared prefix ends.
constexpr double branchFactor = 1.5;
constexpr std::size_t maximumLevels = 3;
constexpr std::size_t maximumHolders = 4;
constexpr std::size_t loadDraws = 4;
constexpr std::size_t spareRanks = 4; ///< Looked up on top, in case that the first ones may not be used.
// While no holder is known, a home may well be warm: the other routers know it as home too.
constexpr double homeBelief = 0.5;
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
    std::unordered_map<BackendServerId, BackendServer> known;
    for (BackendServer &server : servers) {
        if (server.state == BackendServerState::Live) {
            for (const ModelVersion &version : server.served) {
                models[version].push_back(server.id);
            }
            if (!server.service.empty()) {
                services[server.service].push_back(server.id);
            }
        }
        known.emplace(server.id, std::move(server));
    }
    for (const auto &[id, server] : m_servers) {
        if (!known.contains(id)) {
            m_loads.remove(id);
        }
    }
    m_servers = std::move(known);
    m_models.clear();
    for (const auto &[version, pool] : models) {
        m_models.emplace(version, Placement(pool));
    }
    m_services.clear();
    for (const auto &[service, pool] : services) {
        m_services.emplace(service, Placement(pool));
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

const Placement *RouteChooser::poolFor(const RouteQuery &query) const
{
    if (!query.service.empty()) {
        const auto found = m_services.find(query.service);
        return found == m_services.end() ? nullptr : &found->second;
    }
    const auto found = m_models.find(query.version);
    return found == m_models.end() ? nullptr : &found->second;
}

RouteDecision RouteChooser::choose(const RouteQuery &query, Core::TimePoint now) const
{
    const Placement *pool = poolFor(query);
    if (pool == nullptr) {
        return {};
    }
    Search search{query, now, *pool, {}};
    addHolders(search);
    const std::vector<Level> levels = sharedLevels(query, now);
    for (const Level &level : levels) {
        addHomes(search, level, &level == &levels.back() ? CandidateOrigin::ShallowHome : CandidateOrigin::Home);
    }
    addByLoad(search);
    if (search.candidates.empty()) {
        addAny(search);
    }
    for (RouteCandidate &candidate : search.candidates) {
        weigh(candidate, search);
    }
    std::sort(search.candidates.begin(), search.candidates.end(), [](const RouteCandidate &left, const RouteCandidate &right) {
        return left.score != right.score ? left.score < right.score : left.id < right.id;
    });
    return {std::move(search.candidates)};
}

// Demand falls from shallow to deep. A shared prefix ends where it falls steeply; the deepest ends are the dearest to miss.
std::vector<RouteChooser::Level> RouteChooser::sharedLevels(const RouteQuery &query, Core::TimePoint now) const
{
    std::vector<Level> levels;
    double below = sharedDemand / branchFactor;
    for (std::size_t pieces = query.keys.size(); pieces > 0 && levels.size() < maximumLevels; --pieces) {
        const double demand = m_keys.demand(query.keys[pieces - 1], now);
        if (demand >= below * branchFactor) {
            levels.push_back({static_cast<std::uint32_t>(pieces), query.keys[pieces - 1]});
            below = demand;
        }
    }
    if (levels.empty()) {
        levels.push_back({0, query.keys.empty() ? query.root : query.keys.front()});
    }
    return levels;
}

bool RouteChooser::isUsable(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const
{
    return std::find(query.excluded.begin(), query.excluded.end(), id) == query.excluded.end() && !m_loads.isPaused(id, now);
}

bool RouteChooser::addCandidate(Search &search, BackendServerId id, CandidateOrigin origin, std::uint32_t assumedPieces) const
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
    candidate.warmPieces = std::max(assumedPieces, warmPieces(id, search.query, search.now));
    search.candidates.push_back(candidate);
    return true;
}

// The deepest key with a holder names the backend servers that can save most.
void RouteChooser::addHolders(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.members();
    std::size_t added = 0;
    for (std::size_t pieces = search.query.keys.size(); pieces > 0 && added < maximumHolders; --pieces) {
        const KeyRecord *record = m_keys.find(search.query.keys[pieces - 1]);
        if (record == nullptr) {
            continue;
        }
        for (const PrefixHolder &holder : record->holders) {
            const bool isWarm = search.now < holder.deadline && holder.epoch == m_loads.epoch(holder.id);
            if (isWarm && added < maximumHolders && std::binary_search(members.begin(), members.end(), holder.id)) {
                added += addCandidate(search, holder.id, CandidateOrigin::Holder, static_cast<std::uint32_t>(pieces)) ? 1 : 0;
            }
        }
    }
}

void RouteChooser::addHomes(Search &search, const Level &level, CandidateOrigin origin) const
{
    const KeyRecord *record = m_keys.find(level.key);
    const bool isWide = record != nullptr && search.now < record->widthDeadline;
    const std::size_t width = isWide ? std::min<std::size_t>(record->width, m_options.maximumHomes) : 1;
    std::size_t added = 0;
    const bool isHeld = std::any_of(
        search.candidates.begin(), search.candidates.end(), [&level](const RouteCandidate &candidate) { return candidate.warmPieces >= level.pieces; });
    const auto assumed = isHeld ? 0 : static_cast<std::uint32_t>(homeBelief * level.pieces);
    for (const BackendServerId id : search.pool.ranks(level.key, width + spareRanks)) {
        if (added < width && isUsable(id, search.query, search.now)) {
            ++added;
            addCandidate(search, id, origin, assumed);
        }
    }
}

// Of a few drawn at random the least loaded; those of failure domains that are not among the candidates go first.
void RouteChooser::addByLoad(Search &search) const
{
    const std::vector<BackendServerId> &members = search.pool.members();
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
    const std::vector<BackendServerId> &members = search.pool.members();
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

const BackendServer *RouteChooser::server(BackendServerId id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace Verbena::Decisions
