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

/// \brief One backend server of the bench: the real gate before the fake engine.
struct Worker
{
    Decisions::BackendServerId id{};
    std::unique_ptr<Decisions::AdmissionGate> gate;
    FakeEngine engine;
    std::uint64_t incarnation = 1;
    std::uint64_t cacheEvents = 0; ///< Sent in this incarnation.
    Core::TimePoint tickAt; ///< When the gate is to be ticked.
    std::unordered_map<std::uint64_t, const Request *> waiting; ///< Requests at the gate that have not started.
};

/// \brief A request at one backend server.
struct Attempt
{
    Decisions::BackendServerId server{};
    Decisions::RouteQuery query;
    std::chrono::microseconds work{0};
};

/// \brief What came back from a gate with an answer.
struct Reply
{
    std::uint32_t warmPieces = 0;
    std::optional<Decisions::HotPrefixHint> heat;
};

/// \brief What a gate answers when it is asked about a prompt.
struct ProbeReply
{
    std::uint32_t warmPieces = 0;
    Decisions::LoadReport load;
};

/// \brief How the routers of a run choose; knows no more than its messages, but for the oracle.
class Policy
{
public:
    virtual ~Policy() = default;

    /// \brief The policy called \a name for \a options, or nothing.
    static std::unique_ptr<Policy> create(const std::string &name, const BenchOptions &options, const std::vector<Worker> &workers);

    static const std::vector<std::string> &names();

    /// \brief The mark of a request of \a organisation that comes in now.
    virtual std::uint32_t mark(std::size_t router, const std::string &organisation, Core::TimePoint now);

    /// \brief Whom to ask before choosing.
    virtual Decisions::RouteDecision probes(std::size_t router, const Decisions::RouteQuery &query, Core::TimePoint now) const;

    /// \brief Where to send the request; \a probed have been asked.
    virtual std::optional<Decisions::BackendServerId> choose(
        std::size_t router, const Decisions::RouteQuery &query, const Decisions::RouteDecision &probed, Core::TimePoint now)
        = 0;

    /// \brief What a dispatch is counted with until it is answered.
    virtual std::chrono::microseconds expectedWork(
        std::size_t router, Decisions::BackendServerId server, const Decisions::RouteQuery &query, Core::TimePoint now) const;

    virtual void setFleet(const std::vector<Decisions::BackendServer> &fleet);
    virtual void noteDispatched(std::size_t router, const Attempt &attempt, Core::TimePoint now);
    virtual void noteProbe(
        std::size_t router, Decisions::BackendServerId server, const Decisions::RouteQuery &query, const ProbeReply &reply, Core::TimePoint now);
    virtual void noteReply(std::size_t router, const Attempt &attempt, const Reply &reply, Core::TimePoint now);
    virtual void noteRefusal(std::size_t router, const Attempt &attempt, const Decisions::RouteRefusal &refusal, Core::TimePoint now);
    virtual void noteLoad(std::size_t router, Decisions::BackendServerId server, const Decisions::LoadReport &report, Core::TimePoint now);

    /// \brief All routers begin anew and know nothing but the fleet.
    virtual void restartRouters();
};

} // namespace Verbena::PolicyBench
