#include "policy.h"

#include <algorithm>
#include <map>

namespace Verbena::PolicyBench {

using Decisions::BackendServer;
using Decisions::BackendServerId;
using Decisions::RouteDecision;
using Decisions::RouteQuery;
using std::chrono::microseconds;

namespace {

constexpr double oracleMissWeight = 9; ///< Weight of recomputation relative to waiting.
constexpr std::size_t maximumOracleServers = 200; ///< Maximum number of backend servers, as the oracle evaluates all of them for each request.

bool contains(const std::vector<BackendServerId> &ids, BackendServerId id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Base class of the simple policies. Keeps the list of live backend servers.
class BasicPolicy : public Policy
{
public:
    void setFleet(const std::vector<BackendServer> &fleet) override
    {
        m_live.clear();
        for (const BackendServer &server : fleet) {
            if (server.state == Decisions::BackendServerState::Live) {
                m_live.push_back(server.id);
            }
        }
    }

protected:
    // Returns the first backend server from index \a start on that is not excluded.
    std::optional<BackendServerId> firstFrom(std::size_t start, const RouteQuery &query) const
    {
        for (std::size_t i = 0; i < m_live.size(); ++i) {
            const BackendServerId id = m_live[(start + i) % m_live.size()];
            if (!contains(query.excluded, id)) {
                return id;
            }
        }
        return std::nullopt;
    }

    std::vector<BackendServerId> m_live;
};

class RoundRobin : public BasicPolicy
{
public:
    std::optional<BackendServerId> choose(std::size_t router, const RouteQuery &query, const RouteDecision &, Core::TimePoint) override
    {
        return firstFrom(m_nexts[router]++, query);
    }

private:
    std::map<std::size_t, std::size_t> m_nexts;
};

// Chooses by the hash of the first pieces of the prompt, as many as the two upper levels have.
class PrefixHash : public BasicPolicy
{
public:
    explicit PrefixHash(std::size_t pieces)
        : m_pieces(pieces)
    {
    }

    std::optional<BackendServerId> choose(std::size_t, const RouteQuery &query, const RouteDecision &, Core::TimePoint) override
    {
        return firstFrom(static_cast<std::uint64_t>(query.keys[m_pieces - 1]) % m_live.size(), query);
    }

private:
    std::size_t m_pieces;
};

// Chooses the home of the complete prompt, independent of its load.
class HomeServer : public BasicPolicy
{
public:
    void setFleet(const std::vector<BackendServer> &fleet) override
    {
        BasicPolicy::setFleet(fleet);
        m_placement = Decisions::Placement(m_live);
    }

    std::optional<BackendServerId> choose(std::size_t, const RouteQuery &query, const RouteDecision &, Core::TimePoint) override
    {
        for (const BackendServerId id : m_placement.nearest(query.keys.back(), query.excluded.size() + 1)) {
            if (!contains(query.excluded, id)) {
                return id;
            }
        }
        return std::nullopt;
    }

private:
    Decisions::Placement m_placement;
};

// Chooses the least expected wait, based on the same load hints as ProductPolicy.
class LeastLoaded : public BasicPolicy
{
public:
    LeastLoaded(std::size_t routers, microseconds work)
        : m_loads(routers, Decisions::ServerLoads(Decisions::RoutingOptions().hintLifetime))
        , m_work(work)
    {
    }

    std::optional<BackendServerId> choose(std::size_t router, const RouteQuery &query, const RouteDecision &, Core::TimePoint now) override
    {
        std::optional<BackendServerId> best;
        const std::size_t start = m_next++;
        for (std::size_t i = 0; i < m_live.size(); ++i) {
            const BackendServerId id = m_live[(start + i) % m_live.size()];
            const bool isBetter = !best.has_value() || m_loads[router].expectedWait(id, now) < m_loads[router].expectedWait(*best, now);
            if (isBetter && !contains(query.excluded, id)) {
                best = id;
            }
        }
        return best;
    }

    microseconds expectedWork(std::size_t, BackendServerId, const RouteQuery &, Core::TimePoint) const override
    {
        return m_work;
    }

    void recordDispatch(std::size_t router, const Attempt &attempt, Core::TimePoint) override
    {
        m_loads[router].recordSent(attempt.server, attempt.work);
    }

    void recordReply(std::size_t router, const Attempt &attempt, const Reply &, Core::TimePoint) override
    {
        m_loads[router].recordAnswered(attempt.server, attempt.work);
    }

    void recordRefusal(std::size_t router, const Attempt &attempt, const Decisions::RouteRefusal &, Core::TimePoint) override
    {
        m_loads[router].recordAnswered(attempt.server, attempt.work);
    }

    void updateLoad(std::size_t router, BackendServerId server, const Decisions::LoadReport &report, Core::TimePoint now) override
    {
        m_loads[router].updateReport(server, report, now);
    }

private:
    std::vector<Decisions::ServerLoads> m_loads;
    microseconds m_work;
    std::size_t m_next = 0;
};

Decisions::RoutingOptions optionsOf(const BenchOptions &options, std::size_t router)
{
    Decisions::RoutingOptions result;
    const bool isTailLatencyFirst = Deployment::named(options.deployment).isTailLatencyFirst;
    result.weights = isTailLatencyFirst ? Decisions::RoutingWeights::forTailLatency() : Decisions::RoutingWeights::forRecomputation();
    result.seed = options.seed * 1000 + router;
    return result;
}

// Variants of ProductPolicy with a part disabled.
enum class Variant {
    Complete,
    Unprobed, ///< Candidates are not probed.
    Unmarked, ///< All requests have the same mark.
    Uniform, ///< Marks are random and independent of the organisation.
};

// Policy of the product: a RouteChooser for each router.
class ProductPolicy : public Policy
{
public:
    ProductPolicy(const BenchOptions &options, Variant variant)
        : m_options(options)
        , m_variant(variant)
        , m_isProbing(variant != Variant::Unprobed)
    {
        restartRouters();
    }

    void restartRouters() override
    {
        m_choosers.clear();
        m_markers.clear();
        for (std::size_t router = 0; router < m_options.routers; ++router) {
            Decisions::RoutingOptions options = optionsOf(m_options, router);
            options.isProbing = m_isProbing;
            m_choosers.emplace_back(options).setFleet(m_fleet);
            Decisions::FairShareMarker &marker = m_markers.emplace_back(options.seed);
            for (std::size_t i = 0; i < Workload::shares().size(); ++i) {
                marker.setShare(Workload::organisationName(i), Workload::shares()[i]);
            }
        }
    }

    void setFleet(const std::vector<BackendServer> &fleet) override
    {
        m_fleet = fleet;
        for (Decisions::RouteChooser &chooser : m_choosers) {
            chooser.setFleet(fleet);
        }
    }

    std::uint32_t mark(std::size_t router, const std::string &organisation, Core::TimePoint now) override
    {
        if (m_variant == Variant::Unmarked) {
            return 0;
        }
        // A single flow with the full share gets uniformly distributed marks.
        const std::string flow = m_variant == Variant::Uniform ? "all" : organisation;
        Decisions::FairShareMarker &marker = m_markers[router];
        if (m_variant == Variant::Uniform) {
            marker.setShare(flow, 1);
        }
        marker.recordRequest(flow, now);
        return marker.mark(flow, now);
    }

    RouteDecision chooseProbes(std::size_t router, const RouteQuery &query, Core::TimePoint now) const override
    {
        return m_isProbing ? m_choosers[router].choose(query, now) : RouteDecision();
    }

    std::optional<BackendServerId> choose(std::size_t router, const RouteQuery &query, const RouteDecision &probed, Core::TimePoint now) override
    {
        return (m_isProbing ? m_choosers[router].chooseAmong(probed, query, now) : m_choosers[router].choose(query, now)).best();
    }

    microseconds expectedWork(std::size_t router, BackendServerId server, const RouteQuery &query, Core::TimePoint now) const override
    {
        return m_choosers[router].expectedPrefill(server, query, now);
    }

    void recordDispatch(std::size_t router, const Attempt &attempt, Core::TimePoint now) override
    {
        m_choosers[router].recordDispatch(attempt.server, attempt.query, attempt.work, now);
    }

    void recordProbe(std::size_t router, BackendServerId server, const RouteQuery &query, const ProbeReply &reply, Core::TimePoint now) override
    {
        m_choosers[router].recordProbe(server, query, reply.warmPieces, reply.load, now);
    }

    void recordReply(std::size_t router, const Attempt &attempt, const Reply &reply, Core::TimePoint now) override
    {
        m_choosers[router].recordReply(attempt.server, attempt.query, reply.warmPieces, attempt.work, now);
        if (reply.hotPrefix.has_value()) {
            m_choosers[router].setHomeCount(reply.hotPrefix->key, reply.hotPrefix->width, now + std::chrono::seconds(3));
        }
    }

    void recordRefusal(std::size_t router, const Attempt &attempt, const Decisions::RouteRefusal &refusal, Core::TimePoint now) override
    {
        m_choosers[router].recordRefusal(attempt.server, attempt.query, refusal, attempt.work, now);
    }

    void updateLoad(std::size_t router, BackendServerId server, const Decisions::LoadReport &report, Core::TimePoint now) override
    {
        m_choosers[router].updateLoad(server, report, now);
    }

private:
    BenchOptions m_options;
    Variant m_variant;
    bool m_isProbing;
    std::vector<BackendServer> m_fleet;
    std::vector<Decisions::RouteChooser> m_choosers;
    std::vector<Decisions::FairShareMarker> m_markers;
};

// Uses the actual state of all caches and queues. It is a bound for other policies, as no router has this data.
class Oracle : public BasicPolicy
{
public:
    Oracle(const BenchOptions &options, const std::vector<Worker> &workers)
        : m_deployment(Deployment::named(options.deployment))
        , m_workers(workers)
    {
    }

    std::optional<BackendServerId> choose(std::size_t, const RouteQuery &query, const RouteDecision &, Core::TimePoint now) override
    {
        const Worker *best = nullptr;
        double bestScore = 0;
        for (const Worker &worker : m_workers) {
            if (!contains(m_live, worker.id) || contains(query.excluded, worker.id) || worker.gate->isLeaving()) {
                continue;
            }
            const double score = scoreOf(worker, query, now);
            if (best == nullptr || score < bestScore) {
                best = &worker;
                bestScore = score;
            }
        }
        return best == nullptr ? std::nullopt : std::optional(best->id);
    }

private:
    double scoreOf(const Worker &worker, const RouteQuery &query, Core::TimePoint now) const
    {
        std::size_t warm = worker.engine.cachedPieces(query.keys);
        for (const auto &[id, waiting] : worker.waiting) {
            const auto differs = std::mismatch(query.keys.begin(), query.keys.end(), waiting->keys.begin(), waiting->keys.end()).first;
            warm = std::max(warm, static_cast<std::size_t>(differs - query.keys.begin()));
        }
        const auto missing = static_cast<double>((query.keys.size() - warm) * static_cast<std::size_t>(m_deployment.prefillPerPiece.count()));
        const auto wait = static_cast<double>(worker.gate->load(now).queuedWork.count());
        return wait + oracleMissWeight * missing;
    }

    Deployment m_deployment;
    const std::vector<Worker> &m_workers;
};

} // namespace

std::unique_ptr<Policy> Policy::create(const std::string &name, const BenchOptions &options, const std::vector<Worker> &workers)
{
    const Deployment deployment = Deployment::named(options.deployment);
    if (name == "round-robin") {
        return std::make_unique<RoundRobin>();
    }
    if (name == "least-loaded") {
        return std::make_unique<LeastLoaded>(options.routers, deployment.prefillPerPiece * deployment.promptPieces());
    }
    if (name == "prefix-hash") {
        return std::make_unique<PrefixHash>(deployment.levelPieces[0] + deployment.levelPieces[1]);
    }
    if (name == "v1") {
        return std::make_unique<HomeServer>();
    }
    if (name == "own") {
        return std::make_unique<ProductPolicy>(options, Variant::Complete);
    }
    if (name == "own-unprobed") {
        return std::make_unique<ProductPolicy>(options, Variant::Unprobed);
    }
    if (name == "own-unmarked") {
        return std::make_unique<ProductPolicy>(options, Variant::Unmarked);
    }
    if (name == "own-uniform") {
        return std::make_unique<ProductPolicy>(options, Variant::Uniform);
    }
    if (name == "oracle" && options.workers <= maximumOracleServers) {
        return std::make_unique<Oracle>(options, workers);
    }
    return nullptr;
}

const std::vector<std::string> &Policy::names()
{
    static const std::vector<std::string> names{
        "round-robin", "least-loaded", "prefix-hash", "v1", "own", "own-unprobed", "own-unmarked", "own-uniform", "oracle"};
    return names;
}

std::uint32_t Policy::mark(std::size_t, const std::string &, Core::TimePoint)
{
    return 0;
}

RouteDecision Policy::chooseProbes(std::size_t, const RouteQuery &, Core::TimePoint) const
{
    return {};
}

microseconds Policy::expectedWork(std::size_t, BackendServerId, const RouteQuery &, Core::TimePoint) const
{
    return microseconds(0);
}

void Policy::setFleet(const std::vector<BackendServer> &)
{
}

void Policy::recordDispatch(std::size_t, const Attempt &, Core::TimePoint)
{
}

void Policy::recordProbe(std::size_t, BackendServerId, const RouteQuery &, const ProbeReply &, Core::TimePoint)
{
}

void Policy::recordReply(std::size_t, const Attempt &, const Reply &, Core::TimePoint)
{
}

void Policy::recordRefusal(std::size_t, const Attempt &, const Decisions::RouteRefusal &, Core::TimePoint)
{
}

void Policy::updateLoad(std::size_t, BackendServerId, const Decisions::LoadReport &, Core::TimePoint)
{
}

void Policy::restartRouters()
{
}

} // namespace Verbena::PolicyBench
