#include "agenttask.h"

#include <eventloop/loop.h>

namespace Verbena::Agent {

Core::Result<std::unique_ptr<AgentTask>> AgentTask::create(EventLoop::Loop &loop, const AgentSettings &settings)
{
    std::unique_ptr<AgentTask> task(new AgentTask(loop, settings));
    BOOST_OUTCOME_TRY(created, Http::HttpClient::create(loop));
    task->m_client = std::move(created);
    BOOST_OUTCOME_TRY(opened, Wire::MessageSocket::bind(loop, task->m_context, settings.endpoint, {}, *task));
    task->m_socket = std::move(opened);
    return task;
}

AgentTask::AgentTask(EventLoop::Loop &loop, const AgentSettings &settings)
    : m_loop(loop)
    , m_settings(settings)
{
}

std::string AgentTask::endpoint() const
{
    return m_socket->endpoint();
}

void AgentTask::receiveMessage(const std::string &peer, const verbena::wire::Envelope &message)
{
    if (message.has_dispatch()) {
        run(peer, message.dispatch());
    } else if (message.has_hello()) {
        verbena::wire::Envelope answer;
        answer.mutable_welcome()->set_name(m_settings.name);
        sendToRouter(peer, answer);
    }
}

void AgentTask::receiveGarbage(const std::string &)
{
}

void AgentTask::run(const std::string &peer, const verbena::wire::Dispatch &dispatch)
{
    Http::HttpCall call;
    call.method = "POST";
    call.url = m_settings.backendUrl + dispatch.path();
    call.fields = {"Content-Type: application/json", "Verbena-Request: " + dispatch.request()};
    call.body = dispatch.body();
    call.deadline = m_loop.now() + std::chrono::microseconds(dispatch.deadline_left_us());
    m_client->start(call, std::make_shared<EngineCall>(peer, dispatch.request(), dispatch.attempt(), *this));
}

void AgentTask::sendToRouter(const std::string &router, const verbena::wire::Envelope &message)
{
    // A router that is gone needs no answer.
    static_cast<void>(m_socket->send(router, message));
}

} // namespace Verbena::Agent
