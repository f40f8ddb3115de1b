#include "requesttask.h"

namespace Verbena::Router {

RequestTask::RequestTask(std::string id, CallerRequest request, Caller caller, std::shared_ptr<Http::HttpExchange> exchange)
    : m_id(std::move(id))
    , m_request(std::move(request))
    , m_caller(std::move(caller))
    , m_exchange(std::move(exchange))
    , m_format(m_request.interface, m_id, m_request.model)
{
}

const std::string &RequestTask::id() const
{
    return m_id;
}

bool RequestTask::isFinished() const
{
    return m_isFinished;
}

std::vector<Http::HttpField> RequestTask::fields(const std::string &contentType, const std::string &run) const
{
    return {{"Content-Type", contentType}, {"Verbena-Request", m_id}, {"Verbena-Run", run}};
}

void RequestTask::receiveFrame(const verbena::wire::Frame &frame)
{
    if (frame.sequence() != m_lastSequence + 1) {
        return;
    }
    m_lastSequence = frame.sequence();
    if (!m_request.isStream) {
        m_text += frame.text();
        return;
    }
    if (!m_isStreaming) {
        m_isStreaming = true;
        m_exchange->beginStream(200, fields("text/event-stream", "run"));
    }
    m_exchange->write(m_format.chunk(frame.text()));
}

void RequestTask::receiveEnd(const verbena::wire::Ended &ended)
{
    const Usage usage{ended.prompt_tokens(), ended.cached_tokens(), ended.completion_tokens()};
    m_isFinished = true;
    if (!m_request.isStream) {
        m_exchange->respond(200, fields("application/json", "run"), m_format.wholeBody(m_text, ended.finish_reason(), usage));
        return;
    }
    m_exchange->write(m_format.streamEnd(ended.finish_reason(), usage));
    m_exchange->endStream();
}

void RequestTask::receiveRefusal(const verbena::wire::Refused &)
{
    failNotRun(503, "refused", "The backend server refused the request before running it.");
}

void RequestTask::failNotRun(int status, const std::string &code, const std::string &message)
{
    m_isFinished = true;
    m_exchange->respond(status, fields("application/json", "not-run"), AnswerFormat::errorBody("service_unavailable", code, message));
}

} // namespace Verbena::Router
