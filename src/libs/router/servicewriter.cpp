#include "servicewriter.h"

#include "answerformat.h"

namespace Verbena::Router {

namespace {

constexpr int badGatewayStatus = 502;

bool isStatus(int status)
{
    constexpr int first = 200;
    constexpr int last = 599;
    return status >= first && status <= last;
}

} // namespace

ServiceWriter::ServiceWriter(std::shared_ptr<Http::HttpExchange> exchange, std::string requestId)
    : m_exchange(std::move(exchange))
    , m_requestId(std::move(requestId))
{
}

void ServiceWriter::deliver(std::string_view text)
{
    m_body += text;
}

void ServiceWriter::restart()
{
    m_body.clear();
}

void ServiceWriter::finish(const verbena::wire::Ended &ended)
{
    const int status = isStatus(ended.status()) ? ended.status() : badGatewayStatus;
    const std::string contentType = ended.content_type().empty() ? "application/json" : ended.content_type();
    m_exchange->respond(status, answerFields(contentType, m_requestId, Decisions::RunState::Run), std::move(m_body));
}

void ServiceWriter::fail(const RequestFailure &failure)
{
    respondFailure(*m_exchange, m_requestId, failure);
}

std::size_t ServiceWriter::bufferedBytes() const
{
    return m_body.size();
}

// Service calls are never resumed, so no text is needed.
const std::string &ServiceWriter::deliveredText() const
{
    static const std::string nothing;
    return nothing;
}

} // namespace Verbena::Router
