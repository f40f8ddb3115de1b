#pragma once

#include "backendserver.h"
#include "keytable.h"
#include "placement.h"
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

/// \brief What a refusal tells the router besides the load report that comes with it.
struct RouteRefusal
{
    std::chrono::microseconds retryAfter{0}; ///< Zero if the agent named none.
    std::optional<BackendServerId> redirect; ///< A backend server that keeps the prompt.
    bool isUnavailable = false; ///< Nobody is served for now: it is leaving, or its engine is down.
};

/// \brief Chooses the backend server for each request of one router.
///
/// Order of calls for one attempt: choose; where candidates are probed, noteProbe for each that answers within some milliseconds, then
/// chooseAmong; noteDispatched; then noteReply or noteRefusal or noteNoAnswer.
class RouteChooser
{
public:
    explicit RouteChooser(RoutingOptions options = {});

    /// \brief Takes the backend servers in place of those known before.
    void setFleet(std::vector<BackendServer> servers);

    /// \brief Notes what an agent said of itself at \a now, outside of an attempt.
    void noteLoad(BackendServerId id, const LoadReport &report, Core::TimePoint now);

    /// \brief Notes that the request of \a query, estimated at \a work of prefill and decoding, was sent to \a id.
    void noteDispatched(BackendServerId id, const RouteQuery &query, std::chrono::microseconds work, Core::TimePoint now);

    /// \brief Notes that \a id admitted the request and found \a warmPieces of it in its cache; \a work as it was dispatched.
    void noteReply(BackendServerId id, const RouteQuery &query, std::uint32_t warmPieces, std::chrono::microseconds work, Core::TimePoint now);

    /// \brief Notes the answer to a probe: \a id keeps \a warmPieces of the prompt, or will when it has run what waits.
    void noteProbe(BackendServerId id, const RouteQuery &query, std::uint32_t warmPieces, const LoadReport &report, Core::TimePoint now);

    /// \brief Notes that \a id refused the request.
    void noteRefusal(BackendServerId id, const RouteQuery &query, const RouteRefusal &refusal, std::chrono::microseconds work, Core::TimePoint now);

    /// \brief Notes that the attempt ended without a word from \a id: cancelled, or the agent is gone.
    void noteNoAnswer(BackendServerId id, std::chrono::microseconds work);

    /// \brief Notes that the owner of \a key asks for \a width homes; asked again before \a deadline, or it is narrowed.
    void noteHeat(PrefixKey key, std::uint32_t width, Core::TimePoint deadline);

    /// \brief Where to send the request: about four candidates, best first.
    RouteDecision choose(const RouteQuery &query, Core::TimePoint now) const;

    /// \brief The same candidates by what is known now, after probes of them; anew if none of them may be used any more.
    RouteDecision chooseAmong(const RouteDecision &candidates, const RouteQuery &query, Core::TimePoint now) const;

    /// \brief Estimated prefill of \a query at \a id, as noteDispatched wants it.
    std::chrono::microseconds expectedPrefill(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const;

    /// \brief Work that this router sent to \a id and that was not answered yet.
    std::chrono::microseconds unanswered(BackendServerId id) const;

    /// \brief The backend server named \a id, or nothing if it is not in the fleet.
    const BackendServer *server(BackendServerId id) const;

private:
    // The backend servers that serve one model version or service, and how much they are asked for.
    struct Pool
    {
        Placement placement;
        DecayingCount demand;
    };

    // A prefix with the number of backend servers that share it.
    struct Level
    {
        std::size_t pieces = 0;
        PrefixKey key{};
        std::size_t width = 1;
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
    Level homeLevel(const Search &search) const;
    std::size_t homeCount(const Search &search, double demand) const;
    std::optional<Level> deeperLevel(const Search &search, const Level &level) const;
    bool isUsable(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const;
    bool addCandidate(Search &search, BackendServerId id, CandidateOrigin origin, std::size_t assumedPieces) const;
    void addHolders(Search &search) const;
    void addHomes(Search &search, const Level &level, CandidateOrigin origin) const;
    void addSpares(Search &search, const Level &level) const;
    RouteDecision ranked(Search search) const;
    RouteDecision withoutOverloaded(Search search) const;
    void addByLoad(Search &search) const;
    void addAny(Search &search) const;
    std::uint32_t warmPieces(BackendServerId id, const RouteQuery &query, Core::TimePoint now) const;
    void weigh(RouteCandidate &candidate, const Search &search) const;
    std::uint64_t draw(const RouteQuery &query, std::uint64_t number) const;
    void noteHolder(BackendServerId id, const RouteQuery &query, Core::TimePoint now);

    RoutingOptions m_options;
    std::unordered_map<BackendServerId, BackendServer> m_servers;
    std::map<ModelVersion, Pool> m_models;
    std::map<std::pair<ModelVersion, std::string>, Placement> m_domains; ///< By model version and failure domain.
    std::map<std::string, Pool> m_services;
    ServerLoads m_loads;
    KeyTable m_keys;
    std::uint64_t m_dispatches = 0;
};

} // namespace Verbena::Decisions
