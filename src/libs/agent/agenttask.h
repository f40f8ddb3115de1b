#pragma once

#include "agentsettings.h"
#include "enginecall.h"

#include <http/httpclient.h>
#include <wire/messagesocket.h>

#include <memory>

namespace Verbena::Agent {

/// \brief The agent process: routers on one side, its backend server on the other.
class AgentTask : public Wire::MessageReceiver, public EngineCallListener
{
public:
    /// \brief Starts to listen. Errors: Unavailable, if the endpoint cannot be bound.
    static Core::Result<std::unique_ptr<AgentTask>> create(EventLoop::Loop &loop, const AgentSettings &settings);

    std::string endpoint() const;

    void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) override;
    void receiveGarbage(const std::string &peer) override;
    void sendToRouter(const std::string &router, const verbena::wire::Envelope &message) override;

private:
    AgentTask(EventLoop::Loop &loop, const AgentSettings &settings);
    void run(const std::string &peer, const verbena::wire::Dispatch &dispatch);

    EventLoop::Loop &m_loop;
    AgentSettings m_settings;
    Wire::MessageContext m_context;
    std::unique_ptr<Http::HttpClient> m_client;
    std::unique_ptr<Wire::MessageSocket> m_socket;
};

} // namespace Verbena::Agent
