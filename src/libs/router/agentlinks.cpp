#include "agentlinks.h"

#include <eventloop/loop.h>
#include <eventloop/timer.h>

#include <vector>

namespace Verbena::Router {

namespace {

constexpr std::chrono::milliseconds helloInterval{20};

} // namespace

// Says Hello until the agent answers; what is sent before that waits, and has not been sent yet.
class AgentLinks::Link : public Wire::MessageReceiver
{
public:
    Link(EventLoop::Loop &loop, Decisions::BackendServerId id, AgentListener &listener)
        : m_loop(loop)
        , m_id(id)
        , m_listener(listener)
        , m_helloTimer(loop, [this] { sendHello(); })
    {
    }

    Core::Result<void> connect(Wire::MessageContext &context, const std::string &endpoint)
    {
        BOOST_OUTCOME_TRY(opened, Wire::MessageSocket::connect(m_loop, context, endpoint, {}, *this));
        m_socket = std::move(opened);
        sendHello();
        return Core::success();
    }

    Core::Result<void> send(const verbena::wire::Envelope &message)
    {
        if (m_isWelcome) {
            return m_socket->send({}, message);
        }
        m_waiting.push_back(message);
        return Core::success();
    }

    void receiveMessage(const std::string &, const verbena::wire::Envelope &message) override
    {
        if (!message.has_welcome()) {
            m_listener.receiveFromAgent(m_id, message);
            return;
        }
        m_isWelcome = true;
        m_helloTimer.stop();
        for (const verbena::wire::Envelope &waiting : m_waiting) {
            static_cast<void>(m_socket->send({}, waiting));
        }
        m_waiting.clear();
    }

    void receiveGarbage(const std::string &) override
    {
    }

private:
    void sendHello()
    {
        verbena::wire::Envelope envelope;
        envelope.mutable_hello();
        static_cast<void>(m_socket->send({}, envelope));
        m_helloTimer.startAt(m_loop.now() + helloInterval);
    }

    EventLoop::Loop &m_loop;
    Decisions::BackendServerId m_id;
    AgentListener &m_listener;
    EventLoop::Timer m_helloTimer;
    std::unique_ptr<Wire::MessageSocket> m_socket;
    std::vector<verbena::wire::Envelope> m_waiting;
    bool m_isWelcome = false;
};

AgentLinks::AgentLinks(EventLoop::Loop &loop, Wire::MessageContext &context, AgentListener &listener)
    : m_loop(loop)
    , m_context(context)
    , m_listener(listener)
{
}

AgentLinks::~AgentLinks() = default;

Core::Result<void> AgentLinks::open(const Decisions::BackendServer &server)
{
    if (m_links.contains(server.id)) {
        return Core::success();
    }
    auto link = std::make_unique<Link>(m_loop, server.id, m_listener);
    BOOST_OUTCOME_TRY(link->connect(m_context, server.endpoint));
    m_links.emplace(server.id, std::move(link));
    return Core::success();
}

Core::Result<void> AgentLinks::send(const Decisions::BackendServer &server, const verbena::wire::Envelope &message)
{
    BOOST_OUTCOME_TRY(open(server));
    return m_links.at(server.id)->send(message);
}

} // namespace Verbena::Router
