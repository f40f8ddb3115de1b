#pragma once

#include "agentlinks.h"
#include "callerkeys.h"
#include "requesttask.h"
#include "routersettings.h"

#include <decisions/routing/routechooser.h>
#include <http/httpserver.h>

#include <memory>
#include <unordered_map>

namespace Verbena::Router {

/// \brief The router process: callers' HTTP on one side, agents on the other.
class RouterTask : public Http::HttpHandler, public AgentListener
{
public:
    /// \brief Starts to listen. Errors: Unavailable, if the address cannot be had.
    static Core::Result<std::unique_ptr<RouterTask>> create(EventLoop::Loop &loop, const RouterSettings &settings);

    std::uint16_t port() const;

    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;
    void receiveFromAgent(Decisions::BackendServerId id, const verbena::wire::Envelope &message) override;

private:
    RouterTask(EventLoop::Loop &loop, const RouterSettings &settings);
    void handleCompletion(const std::shared_ptr<Http::HttpExchange> &exchange, CallerInterface interface);
    void dispatch(RequestTask &task, const CallerRequest &request, const Caller &caller);
    RequestTask *find(const std::string &id);
    std::string newRequestId();

    EventLoop::Loop &m_loop;
    RouterSettings m_settings;
    CallerKeys m_keys;
    Decisions::RouteChooser m_chooser;
    Wire::MessageContext m_context;
    AgentLinks m_links;
    std::unordered_map<std::string, std::unique_ptr<RequestTask>> m_tasks;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Router
