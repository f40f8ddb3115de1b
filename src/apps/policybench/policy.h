#pragma once

#include "benchoptions.h"
#include "fakeengine.h"

#include <decisions/gate/admissiongate.h>
#include <decisions/routing/fairsharemarker.h>
#include <decisions/routing/routechooser.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::PolicyBench {

/// \brief Simulated backend server: a real admission gate and a simulated engine.
struct Worker
{
    Decisions::BackendServerId id{};
    std::unique_ptr<Decisions::AdmissionGate> gate;
    FakeEngine engine;
    std::uint64_t incarnation = 1;
    std::uint64_t cacheEvents = 0; ///< Number of cache events sent in this incarnation.
    Core::TimePoint tickAt; ///< Time of the gate's next tick.
    std::unordered_map<std::uint64_t, const Request *> waiting; ///< Requests that wait at the gate, by id.
};

/// \brief Dispatch of a request to a backend server.
struct Attempt
{
    Decisions::BackendServerId server{};
    Decisions::RouteQuery query;
    std::chrono::microseconds work{0}; ///< Expected work of the request.
};

/// \brief Data that a gate returns with an answer.
struct Reply
{
    std::uint32_t warmPieces = 0;
    std::optional<Decisions::HotPrefixHint> hotPrefix;
};

/// \brief Answer of a gate to a probe for a prompt.
struct ProbeReply
{
    std::uint32_t warmPieces = 0;
    Decisions::LoadReport load;
};

/// \brief Routing policy of all simulated routers. Except for the oracle, a policy uses only data from messages that the routers received.
class Policy
{
public:
    virtual ~Policy() = default;

    /// \brief Creates the policy \a name for \a options; returns null if it doesn't exist or can't be run with these options.
    static std::unique_ptr<Policy> create(const std::string &name, const BenchOptions &options, const std::vector<Worker> &workers);

    /// \brief Returns the names of all policies.
    static const std::vector<std::string> &names();

    /// \brief Returns the fair share mark of a request of \a organisation that arrives at \a now.
    virtual std::uint32_t mark(std::size_t router, const std::string &organisation, Core::TimePoint now);

    /// \brief Returns the backend servers to probe before choose().
    virtual Decisions::RouteDecision chooseProbes(std::size_t router, const Decisions::RouteQuery &query, Core::TimePoint now) const;

    /// \brief Returns the backend server for a request after \a probed have been probed; nothing if there is none.
    virtual std::optional<Decisions::BackendServerId> choose(
        std::size_t router, const Decisions::RouteQuery &query, const Decisions::RouteDecision &probed, Core::TimePoint now)
        = 0;

    /// \brief Returns the work that a dispatch counts as until it is answered.
    virtual std::chrono::microseconds expectedWork(
        std::size_t router, Decisions::BackendServerId server, const Decisions::RouteQuery &query, Core::TimePoint now) const;

    virtual void setFleet(const std::vector<Decisions::BackendServer> &fleet);
    virtual void recordDispatch(std::size_t router, const Attempt &attempt, Core::TimePoint now);
    virtual void recordProbe(
        std::size_t router, Decisions::BackendServerId server, const Decisions::RouteQuery &query, const ProbeReply &reply, Core::TimePoint now);
    virtual void recordReply(std::size_t router, const Attempt &attempt, const Reply &reply, Core::TimePoint now);
    virtual void recordRefusal(std::size_t router, const Attempt &attempt, const Decisions::RouteRefusal &refusal, Core::TimePoint now);
    virtual void updateLoad(std::size_t router, Decisions::BackendServerId server, const Decisions::LoadReport &report, Core::TimePoint now);

    /// \brief Restarts all routers. They lose all data except the fleet.
    virtual void restartRouters();
};

} // namespace Verbena::PolicyBench
