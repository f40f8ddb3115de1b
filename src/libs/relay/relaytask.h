#pragma once

#include "callerconnection.h"

#include <decisions/relay/activerouters.h>
#include <decisions/relay/stalldetector.h>
#include <http/tcplistener.h>
#include <observe/metrics.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Verbena::Relay {

/// \brief How a relay listens, chooses, sends again and ends.
struct RelaySettings
{
    Http::Endpoint listen;
    std::string address; ///< IP number of this router, as agents name it.
    Decisions::ResendLimits resend;
    Decisions::WeightsLimits weights;
    Decisions::RoutingOptions routing;
    std::uint32_t routerCount = 8; ///< Routers that share the resends at least, however few are named.
    std::uint64_t seed = 0;
    std::chrono::milliseconds shutdownNotice{2900}; ///< Until the balancer sends no new callers any more.
    std::chrono::milliseconds shutdownGrace{7000}; ///< After that the process ends whatever still runs.
};

/// \brief The front door for callers that speak a RelayProtocol: owns their connections and all that their requests share.
class RelayTask : public ConnectionOwner
{
public:
    /// \brief Listens and refuses requests until it has a configuration. Errors: Unavailable.
    static Core::Result<std::unique_ptr<RelayTask>> create(EventLoop::Loop &loop, const RelaySettings &settings, const RelayProtocol &protocol);
    ~RelayTask() override;

    RelayTask(const RelayTask &) = delete;
    RelayTask &operator=(const RelayTask &) = delete;

    /// \brief Takes \a configuration if it is newer than the present one; requests under way keep theirs. Returns whether it was taken.
    bool setConfiguration(Decisions::RelayConfiguration configuration);

    /// \brief The backend servers, to be kept up to date by whoever follows the register.
    Decisions::RelayFleet &fleet();

    /// \brief An agent named the routers at \a addresses, this one among them.
    void recordRouters(const std::vector<std::string> &addresses);

    /// \brief True on a few of all routers, by a draw anew with each call: for what should be done by some and need not be done by all.
    bool isRandomlyChosen();

    /// \brief The fleet knows of new weights: calls the observer, on one of a few routers; on the others agents hear of them with the next question.
    void announceWeights();

    /// \brief Calls \a observer when agents should hear of new weights at once.
    void setWeightsObserver(std::function<void()> observer);

    /// \brief Routers that agents named lately, this one among them.
    std::uint32_t routerCount() const;

    /// \brief The same, but 0 if none was named yet.
    std::uint32_t knownRouterCount() const;

    /// \brief Asks \a control whether requests stay within their organisations' caps; without one, nothing is capped.
    void setUsageControl(UsageControl *control);

    /// \brief Tells \a control of lost calls and asks it about suspected requests; without one, nothing is suspected.
    void setCrashControl(CrashControl *control);

    /// \brief Addresses of the routers that agents named lately.
    std::vector<std::string> routerAddresses() const;

    /// \brief Routers that follow the store's tables for all, the same ones on every router that knows them all; none while all do.
    std::vector<std::string> electedRouters() const;

    /// \brief Whether this router is one of them.
    bool isElected() const;

    /// \brief How long this router waits between two questions for changes of the register.
    std::chrono::milliseconds registerPause() const;

    Observe::Metrics &metrics();

    /// \brief \a age tells, for the report of each request, how old the configuration in force may be.
    void setConfigurationAge(std::function<std::optional<std::chrono::milliseconds>()> age);

    /// \brief Whether new callers are welcome.
    bool isReady() const;

    /// \brief The address in use.
    Http::Endpoint endpoint() const;

    /// \brief The version of the configuration in force, or 0.
    std::uint64_t configurationVersion() const;

    /// \brief The stores of kept KV cache by the configuration in force.
    std::vector<Decisions::RelayService> cacheStores() const;

    /// \brief Stops being ready, answers what comes until the notice has passed, then calls \a done once nothing runs any more.
    void beginShutdown(std::function<void()> done);

private:
    RelayTask(EventLoop::Loop &loop, const RelaySettings &settings, const RelayProtocol &protocol);
    std::unique_ptr<RelayedRequest> beginRequest(Http::MessageHead head, std::string body, AnswerSink &sink) override;
    Decisions::RelayLimits limits() const override;
    bool isDraining() const override;
    std::vector<Http::HttpField> refusalFields(const Refusal &refusal) const override;
    void connectionEnded(CallerConnection *connection) override;
    void handleNewWeights();
    void recordActivity();
    void acceptCaller(int descriptor);
    void closeListener();
    void continueShutdown();

    EventLoop::Loop &m_loop;
    RelaySettings m_settings;
    const RelayProtocol &m_protocol;
    Decisions::RelayFleet m_fleet;
    Decisions::ResendBudget m_budget;
    ResendQueue m_resendQueue;
    std::uint32_t m_routerCount = 1;
    Decisions::ActiveRouters m_activeRouters;
    Decisions::RandomSource m_random;
    Observe::Metrics m_metrics;
    RelayContext m_context;
    std::function<void()> m_weightsObserver;
    std::shared_ptr<const Decisions::RelayDirectory> m_directory;
    std::unique_ptr<Http::TcpListener> m_listener;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    Decisions::StallDetector m_stallDetector;
    EventLoop::Timer m_activityTimer;
    EventLoop::Timer m_shutdownTimer;
    std::function<void()> m_shutdownDone;
    bool m_isDraining = false;
    Core::TimePoint m_noticeEnd;
    Core::TimePoint m_graceEnd;
};

} // namespace Verbena::Relay
