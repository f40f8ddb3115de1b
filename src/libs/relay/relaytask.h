#pragma once

#include "callerconnection.h"
#include "intakemonitor.h"
#include "relayshutdown.h"
#include "serverconnections.h"

#include <decisions/relay/activerouters.h>
#include <decisions/relay/connectionlimit.h>
#include <decisions/relay/stalldetector.h>
#include <http/tcplistener.h>
#include <observe/metrics.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Verbena::Relay {

/// \brief Settings of a relay.
struct RelaySettings
{
    Http::Endpoint listen;
    std::string address; ///< IP address of this router as agents report it.
    Decisions::ResendLimits resend;
    Decisions::WeightsLimits weights;
    Decisions::RoutingOptions routing;
    std::uint32_t routerCount = 8; ///< Routers that share the resend budget at least, and the limits of backend servers until agents report the routers.
    std::uint32_t priorityGap = 1; ///< While requests are refused, those that are less urgent by so many priorities yield, if there are usage caps; 0: none do.
    std::optional<std::uint64_t> memoryBytes; ///< Memory that this process may use; without a value only what waits for one caller is limited.
    std::optional<std::uint64_t>
        descriptors; ///< Descriptors that this process may open for connections; without a value it takes and wants callers however many it has.
    std::uint64_t seed = 0;
    std::chrono::milliseconds configurationTime{2000}; ///< Time within which a change of the configuration has to be in force.
    std::chrono::milliseconds shutdownNotice{2900}; ///< Time from the start of a shutdown until the load balancer sends no new callers.
    std::chrono::milliseconds shutdownGrace{8000}; ///< Time from the start of a shutdown within which the process ends even if requests are running.
    bool keepsConnections = false; ///< Whether calls that may be repeated use connections to backend servers one after the other.
};

/// \brief Server for callers that use a RelayProtocol; owns their connections and the state that their requests share.
class RelayTask : public ConnectionOwner, private ShutdownOwner
{
public:
    /// \brief Binds the address without listening yet. Errors: Unavailable.
    static Core::Result<std::unique_ptr<RelayTask>> create(EventLoop::Loop &loop, const RelaySettings &settings, const RelayProtocol &protocol);
    ~RelayTask() override;

    RelayTask(const RelayTask &) = delete;
    RelayTask &operator=(const RelayTask &) = delete;

    /// \brief Starts to accept callers; requests are refused until there is a configuration. Errors: Unavailable, if another process listens on the address.
    Core::Result<void> listen();

    /// \brief Applies \a configuration if it is newer than the current one; running requests keep theirs. Returns whether it was applied.
    bool setConfiguration(Decisions::RelayConfiguration configuration);

    /// \brief Returns the backend servers, which the followers of the register keep up to date.
    Decisions::RelayFleet &fleet();

    /// \brief Records that an agent reported the routers at \a addresses, including this one.
    void recordRouters(const std::vector<std::string> &addresses);

    /// \brief Returns true at random so that, on average, a few of all routers get true; for work that some routers should do but not all need to.
    bool isRandomlyChosen();

    /// \brief Notifies the weights observer of new weights if this is one of a few randomly chosen routers; the other routers tell agents with their next
    /// request.
    void announceWeights();

    /// \brief Sets the function that is called when agents should be told of new weights at once.
    void setWeightsObserver(std::function<void()> observer);

    /// \brief Returns the number of routers that agents reported recently, including this one.
    std::uint32_t routerCount() const;

    /// \brief Returns routerCount(), or 0 if no agent has reported any router yet.
    std::uint32_t knownRouterCount() const;

    /// \brief Sets the control of usage caps; null means that usage is not limited. Like the next two: open connections end with the control that they use.
    void setUsageControl(UsageControl *control);

    /// \brief Sets the control that tracks crashes; null means that no request is suspected.
    void setCrashControl(CrashControl *control);

    /// \brief Sets the control that knows where streams began; null means that callers may resume them at any backend server.
    void setStreamOriginControl(StreamOriginControl *control);

    /// \brief Returns the time within which a change of the configuration or of the register has to be in force.
    std::chrono::milliseconds configurationTime() const;

    /// \brief Returns the addresses of the routers that agents reported recently.
    std::vector<std::string> routerAddresses() const;

    /// \brief Returns the routers that follow the store's tables for all others, or none if every router follows them itself.
    ///
    /// All routers with the same list of active routers get the same result.
    std::vector<std::string> electedRouters() const;

    /// \brief Returns whether this router is one of electedRouters().
    bool isElected() const;

    /// \brief Returns the interval at which this router polls the register for changes.
    std::chrono::milliseconds registerPause() const;

    /// \brief Returns whether a route with streams that may be resumed leads to \a service.
    bool hasResumableStreams(const std::string &service) const;

    /// \brief Returns the longest time for which a stream of any route may be resumed after it began; 0 if there is no configuration.
    std::chrono::milliseconds longestStream() const;

    /// \brief Returns the path of the health check of \a service; empty if it is not known.
    std::string healthPath(const std::string &service) const;

    /// \brief Returns the idle connections to backend servers; null if each call opens a connection of its own.
    const ServerConnections *serverConnections() const;

    /// \brief Returns the metrics of the relay.
    Observe::Metrics &metrics();

    /// \brief Sets the function that returns the maximum age of the current configuration, for the report of each request.
    void setConfigurationAge(std::function<std::optional<std::chrono::milliseconds>()> age);

    /// \brief Returns whether the load balancer should send new callers to this router.
    bool isReady() const;

    /// \brief Returns the address that the relay listens at.
    Http::Endpoint endpoint() const;

    /// \brief Returns the version of the current configuration, or 0 if there is none.
    std::uint64_t configurationVersion() const;

    /// \brief Returns the stores of saved KV cache in the current configuration.
    std::vector<Decisions::RelayService> cacheStores() const;

    /// \brief Becomes not ready, serves the requests that can be expected to end in time until the notice has passed, and calls \a done when no caller is left,
    /// before the grace period ends.
    void beginShutdown(std::function<void()> done);

private:
    RelayTask(EventLoop::Loop &loop, const RelaySettings &settings, const RelayProtocol &protocol);
    std::unique_ptr<RelayedRequest> beginRequest(Http::MessageHead head, Http::SharedBody body, AnswerSink &sink) override;
    bool isRefused(const Http::MessageHead &head) const override;
    std::shared_ptr<const Decisions::RelayDirectory> servedDirectory() const;
    Decisions::RelayLimits limits() const override;
    bool isDraining() const override;
    std::vector<Http::HttpField> refusalFields(const Refusal &refusal, const Http::MessageHead &head) const override;
    void reportTooLong(std::string_view bound, int status) override;
    MemoryGuard &memory() override;
    BodyAdmission &bodies() override;
    Core::TimePoint latestBodyStart(const Http::MessageHead &head) const override;
    void connectionEnded(CallerConnection *connection, CloseReason reason) override;
    void handleNewWeights();
    void recordActivity();
    void relieveMemory();
    void updateUnreadBytes();
    void giveUpAnswers();
    void failOverSilentEngines();
    void handleActivityTimer();
    void acceptCaller(int descriptor);
    void resumeAccepting();
    void closeIdleConnections(std::size_t count);
    std::vector<CallerConnection *> connectionSnapshot() const override;
    std::size_t connectionCount() const override;
    std::uint64_t acceptedCount() const override;
    bool acceptWaiting() override;
    void closeListener() override;
    void abandonConnections(CloseReason reason);

    EventLoop::Loop &m_loop;
    RelaySettings m_settings;
    const RelayProtocol &m_protocol;
    Decisions::RelayFleet m_fleet;
    Decisions::ResendBudget m_budget;
    Decisions::LoadShedder m_shedder;
    ResendQueue m_resendQueue;
    std::uint32_t m_routerCount = 1;
    Decisions::ActiveRouters m_activeRouters;
    Core::TimePoint m_routersUpdateTime{}; ///< Time of the next update of the routers that share limits.
    Decisions::RandomSource m_random;
    Observe::Metrics m_metrics;
    MemoryGuard m_memory;
    BodyAdmission m_bodies;
    IntakeMonitor m_intake;
    Decisions::ConnectionLimit m_connectionLimit;
    std::unique_ptr<ServerConnections> m_serverConnections; ///< Null if each call opens a connection of its own.
    RelayContext m_context;
    std::function<void()> m_weightsObserver;
    std::shared_ptr<const Decisions::RelayDirectory> m_directory;
    std::unique_ptr<Http::TcpListener> m_listener;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    Decisions::StallDetector m_stallDetector;
    EventLoop::Timer m_activityTimer;
    Core::TimePoint m_activityDue; ///< When m_activityTimer fires if the event loop is not late.
    std::optional<Core::TimePoint> m_handledActivityDue; ///< The same before it fired, if it fired in this iteration of the loop.
    EventLoop::DeferredCall m_forgetActivity; ///< Resets m_handledActivityDue.
    EventLoop::DeferredCall m_resume; ///< Resumes accepting if it is paused and there is room.
    RelayShutdown m_shutdown;
    std::uint64_t m_acceptedCount = 0; ///< Number of connections that were accepted.
};

} // namespace Verbena::Relay
