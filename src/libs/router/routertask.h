#pragma once

#include "agentlinks.h"
#include "claimservice.h"
#include "introspection.h"
#include "peerlistener.h"
#include "requestcontext.h"
#include "requestfactory.h"
#include "requesttask.h"
#include "routersettings.h"

#include <decisions/attempts/retrybudget.h>
#include <decisions/routing/routechooser.h>
#include <eventloop/deferredcall.h>
#include <http/httpserver.h>
#include <observe/metrics.h>
#include <settings/inforcesettings.h>
#include <wire/messagecontext.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Router {

/// \brief The services that a router uses from its process.
struct RouterServices
{
    std::shared_ptr<Settings::SettingsView> settings;
    std::shared_ptr<ClaimService> claims;
};

/// \brief The main task of the router process: accepts HTTP requests from callers and sends them to agents.
class RouterTask : public Http::HttpHandler, public AgentListener, public RequestListener
{
public:
    /// \brief Creates the task and starts listening. Errors: Unavailable, if the address cannot be bound; NotFound or InvalidArgument, if a key file is
    /// invalid.
    static Core::Result<std::unique_ptr<RouterTask>> create(EventLoop::Loop &loop, const RouterSettings &settings, const RouterServices &services);
    ~RouterTask() override;

    std::uint16_t port() const;

    /// \brief Sets the names of hosts that the platform lists as leaving; they get no new requests.
    void setLeavingHosts(std::set<std::string> names);

    /// \brief Shuts the router down without interrupting a request; \a done is called when all requests are finished.
    void beginShutdown(std::function<void()> done);

    /// \brief Passes all messages from agents except for frames to \a listener, which may be null.
    void setPeerListener(PeerListener *listener);

    /// \brief Opens a connection to \a server if there is none, to receive settings gossip.
    void openPeer(const Decisions::BackendServer &server, const std::string &agentPublicKey);

    /// \brief Sends a \a message that belongs to no request. Errors: NotFound, if there is no connection; Unavailable, ResourceExhausted.
    Core::Result<void> sendToPeer(Decisions::BackendServerId id, const verbena::wire::Envelope &message);

    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;
    void receiveFromAgent(Decisions::BackendServerId id, const verbena::wire::Envelope &message) override;
    void agentReady(Decisions::BackendServerId id) override;
    void agentLost(Decisions::BackendServerId id) override;
    void requestFinished(const std::string &id) override;

private:
    RouterTask(EventLoop::Loop &loop, const RouterSettings &settings, const RouterServices &services);
    Core::Result<void> readKeys();
    Core::Result<void> listen();
    RequestContext context();
    void applySettings();
    void updateFleet();
    bool isServing() const;
    void handlePost(const std::shared_ptr<Http::HttpExchange> &exchange);
    void handleGet(Http::HttpExchange &exchange);
    void startTask(const std::shared_ptr<RequestTask> &task);
    void handleLoadHint(Decisions::BackendServerId id, const verbena::wire::LoadHint &hint);
    RequestTask *find(const std::string &id);
    std::vector<std::shared_ptr<RequestTask>> runningTasks() const;
    RouterStatus status() const;
    void stopListening();
    void finishShutdownIfIdle();
    void giveUpRequests();

    EventLoop::Loop &m_loop;
    RouterSettings m_settings;
    RouterServices m_services;
    PeerListener *m_peerListener = nullptr;
    std::uint64_t m_incarnation;
    Observe::Metrics m_metrics;
    Decisions::RouteChooser m_chooser;
    Decisions::RetryBudget m_budget;
    OverloadLevels m_overload;
    Wire::MessageContext m_context;
    AgentLinks m_links;
    RequestFactory m_requestFactory;
    std::unordered_map<std::string, std::shared_ptr<RequestTask>> m_tasks;
    std::vector<std::shared_ptr<RequestTask>> m_finished;
    EventLoop::DeferredCall m_removeFinished;
    std::unique_ptr<Http::HttpServer> m_server;
    Core::TimePoint m_settingsAppliedAt;
    std::uint64_t m_settingsRevision = 0; ///< Revision of the settings; 0 until there are any.
    std::set<std::string> m_leavingHosts;
    bool m_isReady = true;
    bool m_isListening = true;
    EventLoop::Timer m_shutdownTimer;
    std::function<void()> m_shutdownDone;
    Core::TimePoint m_refusalTime = Core::TimePoint::max(); ///< From when on a shutdown answers new requests with an error instead of sending them.
    Core::TimePoint m_giveUpTime; ///< When a shutdown gives the requests up that are left.
    Core::TimePoint m_shutdownEnd; ///< When the process ends even if callers have not read their answers.
};

} // namespace Verbena::Router
