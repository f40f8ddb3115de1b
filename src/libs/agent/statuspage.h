#pragma once

#include "agentcontrol.h"
#include "agenttask.h"

#include <http/httpserver.h>

#include <memory>
#include <string>

namespace Verbena::Agent {

/// \brief Serves /healthz, /status and /metrics of an agent to operators.
class StatusPage : public Http::HttpHandler
{
public:
    /// \brief Starts to listen. Errors: Unavailable, if the address cannot be bound.
    static Core::Result<std::unique_ptr<StatusPage>> create(
        EventLoop::Loop &loop, const StatusListen &listen, const AgentTask &task, Observe::Metrics &metrics);

    /// \brief Also shows the state of \a control, which must outlive the page's last answer.
    void setControl(const AgentControl *control);

    /// \brief Returns the address and port in use.
    std::string address() const;

    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;

private:
    StatusPage(const StatusListen &listen, const AgentTask &task, Observe::Metrics &metrics);
    std::string statusJson() const;
    void updateGauges();

    StatusListen m_listen;
    const AgentTask &m_task;
    Observe::Metrics &m_metrics;
    const AgentControl *m_control = nullptr;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Agent
