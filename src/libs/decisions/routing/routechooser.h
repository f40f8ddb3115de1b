#pragma once

#include "backendserver.h"
#include "placement.h"
#include "prefixtable.h"
#include "routedecision.h"
#include "routequery.h"
#include "routingoptions.h"
#include "serverloads.h"

#include <core/time.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief Contents of a refusal, apart from the load report that comes with it.
struct RouteRefusal
{
    std::chrono::microseconds retryAfter{0}; ///< Time after which to try again; zero if the agent named none.
    std::optional<BackendServerId> redirect; ///< Backend server that has the prompt in its cache.
    bool isUnavailable = false; ///< Whether the agent refuses all requests for now, as it is leaving or its engine is down.
};

/// \brief Chooses the backend server for each request of one router.
///
/// Order of calls for one attempt: choose(); where candidates are probed, recordProbe() for each that answers within some milliseconds,
/// then chooseAmong(); recordDispatch(); then recordReply(), recordRefusal() or recordNoAnswer().
class RouteChooser
{
public:
    explicit RouteChooser(RoutingOptions options = {});

    /// \brief Replaces the list of backend servers with \a servers.
    void setFleet(std::vector<BackendServer> servers);

    /// \brief Replaces the load of \a id with \a report, which arrived at \a now outside of an attempt.
    void updateLoad(BackendServerId id, const LoadReport &report, Core::TimePoint now);

    /// \brief Records that the request of \a query, estimated at \a work of prefill and decoding, was sent to \a id.
    void recordDispatch(BackendServerId id, const RouteQuery &query, std::chrono::microseconds work, Core::TimePoint now);

    /// \brief Records that \a id admitted the request and found \a warmPieces of it in its cache; \a work as in recordDispatch().
    void recordReply(BackendServerId id, const RouteQuery &query, std::uint32_t warmPieces, std::chrono::microseconds work, Core::TimePoint now);

    /// \brief Records the answer to a probe: \a id has \a warmPieces of the prompt in its cache, or will after the requests in its queue.
    void recordProbe(BackendServerId id, const RouteQuery &query, std::uint32_t warmPieces, const LoadReport &report, Core::TimePoint now);

    /// \brief Records that \a id refused the request; \a work as in recordDispatch().
    void recordRefusal(BackendServerId id, const RouteQuery &query, const RouteRefusal &refusal, std::chrono::microseconds work, Core::TimePoint now);

    /// \brief Records that the attempt ended without an answer from \a id, as it was cancelled or the agent is gone.
    void recordNoAnswer(BackendServerId id, std::chrono::microseconds work);

    /// \brief Sets the number of homes that the owner of \a key asked for.
    ///
    /// The owner repeats its request before \a validUntil as long as it needs that many.
    void setHomeCount(PrefixKey key, std::uint32_t homeCount, Core::TimePoint validUntil);

    /// \brief Returns about four candidates for the request, best first.
    RouteDecision choose(const RouteQuery &query, Core::TimePoint now) const;

    /// \brief Evaluates \a candidates again after they were probed.
    ///
    /// Chooses new candidates if none of them may be used any more.
    RouteDecision chooseAmong(const RouteDecision &candidates, const RouteQuery &query, Core::TimePoint now) const;

    /// \brief Returns the estimated prefill of \a query at \a id, for the work passed to recordDispatch().
    std::chrono::microseconds expectedPrefill(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const;

    /// \brief Returns the work that this router sent to \a id and that is not answered yet.
    std::chrono::microseconds unansweredWork(BackendServerId id) const;

    /// \brief Returns the backend server with the \a id, or nullptr if it is not in the fleet.
    const BackendServer *server(BackendServerId id) const;

private:
    // Backend servers that serve one model version or service, with the demand for it.
    struct Pool
    {
        Placement placement;
        DecayingCount demand;
    };

    // A prefix of a prompt with the number of its homes.
    struct SharedPrefix
    {
        std::size_t pieces = 0;
        PrefixKey key{};
        std::size_t homeCount = 1;
    };

    struct Search
    {
        const RouteQuery &query;
        Core::TimePoint now;
        const Pool &pool;
        std::vector<RouteCandidate> candidates;
    };

    template<typename Key>
    static void setPools(std::map<Key, Pool> &pools, const std::map<Key, std::vector<BackendServerId>> &members);
    const Pool *poolFor(const RouteQuery &query) const;
    const Placement &homePlacement(const Search &search) const;
    SharedPrefix homePrefix(const Search &search) const;
    std::size_t homeCount(const Search &search, double demand) const;
    std::optional<SharedPrefix> deeperSharedPrefix(const Search &search, const SharedPrefix &prefix) const;
    bool isUsable(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const;
    bool addCandidate(Search &search, BackendServerId id, CandidateOrigin origin, std::size_t assumedPieces) const;
    void addHolders(Search &search) const;
    void addHomes(Search &search, const SharedPrefix &prefix, CandidateOrigin origin) const;
    void addSpares(Search &search, const SharedPrefix &prefix) const;
    bool addMember(Search &search, BackendServerId id, CandidateOrigin origin) const;
    RouteDecision rankCandidates(Search search) const;
    RouteDecision applyOverloadLevels(Search search) const;
    void addLeastLoaded(Search &search) const;
    void addRandomServers(Search &search) const;
    void addFallback(Search &search) const;
    std::uint32_t warmPieces(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const;
    void evaluate(RouteCandidate &candidate, const Search &search) const;
    std::uint64_t randomValue(const RouteQuery &query, std::uint64_t number) const;
    void recordHolder(BackendServerId id, const RouteQuery &query, Core::TimePoint now);

    RoutingOptions m_options;
    std::unordered_map<BackendServerId, BackendServer> m_servers;
    std::map<ModelVersion, Pool> m_models;
    std::map<std::pair<ModelVersion, std::string>, Placement> m_domains; ///< Keyed by model version and failure domain.
    std::map<std::string, Pool> m_services;
    ServerLoads m_loads;
    PrefixTable m_prefixes;
    std::uint64_t m_dispatches = 0;
};

} // namespace Verbena::Decisions
