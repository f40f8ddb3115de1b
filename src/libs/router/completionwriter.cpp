#include "completionwriter.h"

namespace Verbena::Router {

namespace {

constexpr int okStatus = 200;

Usage usageOf(const verbena::wire::Ended &ended)
{
    return {ended.prompt_tokens(), ended.cached_tokens(), ended.completion_tokens()};
}

} // namespace

StreamedCompletionWriter::StreamedCompletionWriter(
    std::shared_ptr<Http::HttpExchange> exchange, const CallerRequest &request, const std::string &requestId, bool isKeepingText)
    : m_exchange(std::move(exchange))
    , m_format(request.interface, requestId, request.model)
    , m_requestId(requestId)
    , m_isUsageWanted(request.isUsageWanted)
    , m_isKeepingText(isKeepingText)
{
}

void StreamedCompletionWriter::beginStream()
{
    if (!m_hasBegun) {
        m_hasBegun = true;
        std::vector<Http::HttpField> fields = answerFields("text/event-stream", m_requestId, Decisions::RunState::Run);
        fields.push_back({"Cache-Control", "no-cache"});
        m_exchange->beginStream(okStatus, std::move(fields));
    }
}

void StreamedCompletionWriter::deliver(std::string_view text)
{
    beginStream();
    if (m_isKeepingText) {
        m_text += text;
    }
    m_event.clear();
    m_format.appendChunk(text, m_event);
    m_exchange->write(m_event);
}

void StreamedCompletionWriter::restart()
{
}

void StreamedCompletionWriter::finish(const verbena::wire::Ended &ended)
{
    beginStream();
    m_exchange->write(m_format.streamEnd(ended.finish_reason(), usageOf(ended), m_isUsageWanted));
    m_exchange->endStream();
}

void StreamedCompletionWriter::fail(const RequestFailure &failure)
{
    if (!m_hasBegun) {
        respondFailure(*m_exchange, m_requestId, failure);
        return;
    }
    m_exchange->write(AnswerFormat::errorEvent(failure));
    m_exchange->endStream();
}

std::size_t StreamedCompletionWriter::bufferedBytes() const
{
    return m_exchange->bufferedBytes();
}

const std::string &StreamedCompletionWriter::deliveredText() const
{
    return m_text;
}

WholeCompletionWriter::WholeCompletionWriter(std::shared_ptr<Http::HttpExchange> exchange, const CallerRequest &request, const std::string &requestId)
    : m_exchange(std::move(exchange))
    , m_format(request.interface, requestId, request.model)
    , m_requestId(requestId)
{
}

void WholeCompletionWriter::deliver(std::string_view text)
{
    m_text += text;
}

void WholeCompletionWriter::restart()
{
    m_text.clear();
}

void WholeCompletionWriter::finish(const verbena::wire::Ended &ended)
{
    m_exchange->respond(
        okStatus, answerFields("application/json", m_requestId, Decisions::RunState::Run), m_format.wholeBody(m_text, ended.finish_reason(), usageOf(ended)));
}

void WholeCompletionWriter::fail(const RequestFailure &failure)
{
    respondFailure(*m_exchange, m_requestId, failure);
}

// The stored text does not wait for the caller to read.
std::size_t WholeCompletionWriter::bufferedBytes() const
{
    return 0;
}

const std::string &WholeCompletionWriter::deliveredText() const
{
    return m_text;
}

} // namespace Verbena::Router
