#include "runcall.h"

#include <http/messagereader.h>

#include <algorithm>
#include <charconv>

namespace Verbena::Agent {

namespace {

constexpr int statusOk = 200;
constexpr std::size_t maximumDetail = 1024;
// An event longer than this is no event of a completion.
constexpr std::size_t maximumEventBytes = 1024 * 1024;
// Many times the longest text that explains a refusal.
constexpr std::size_t maximumErrorBytes = 1024 * 1024;

} // namespace

RunCall::RunCall(Decisions::RequestRef ref, RunCallOwner &owner)
    : m_ref(std::move(ref))
    , m_owner(owner)
{
}

void RunCall::receiveField(std::string_view name, std::string_view value)
{
    if (Http::isSameFieldName(name, "Content-Type")) {
        m_end.contentType = value;
    } else if (Http::isSameFieldName(name, "Engine-Incarnation")) {
        std::uint64_t incarnation = 0;
        if (std::from_chars(value.data(), value.data() + value.size(), incarnation).ec == std::errc()) {
            m_owner.noteEngineIncarnation(incarnation);
        }
    }
}

void RunCall::finish(Core::Result<int> status)
{
    if (status) {
        m_end.status = status.value();
        finishAnswer(status.value(), m_end);
    } else {
        const bool isSent = status.error().code != Core::ErrorCode::Unavailable;
        m_end.kind = isSent ? BackendEnd::Kind::Lost : BackendEnd::Kind::NotSent;
        // A call that ended early has said why.
        m_end.detail = m_end.detail.empty() ? status.error().message : m_end.detail;
    }
    m_owner.finishCall(m_ref, m_end, status);
}

void RunCall::sendOutput(std::string_view text, std::uint32_t tokens)
{
    m_owner.receiveCallOutput(m_ref, text, tokens);
}

void CompletionCall::receiveData(int status, std::string_view data)
{
    if (status != statusOk) {
        m_errorBytes += data.size();
        m_end.detail += data.substr(0, maximumDetail - std::min(maximumDetail, m_end.detail.size()));
        return;
    }
    if (m_isBroken) {
        return;
    }
    m_parser.feed(data, [this](std::string_view event) { receiveEvent(event); });
    m_isBroken = m_isBroken || m_parser.pendingBytes() > maximumEventBytes;
    if (m_batchTokens > 0) {
        sendOutput(m_batch, m_batchTokens);
        m_batch.clear();
        m_batchTokens = 0;
    }
}

bool CompletionCall::isTakingMore() const
{
    return !m_isBroken && m_errorBytes <= maximumErrorBytes;
}

void CompletionCall::receiveEvent(std::string_view data)
{
    if (data == "[DONE]") {
        m_isDone = true;
        return;
    }
    const std::optional<CompletionEvent> event = m_isBroken ? std::nullopt : m_reader.read(data);
    if (!event || !event->error.empty() || m_isDone) {
        // What follows an event that cannot be read cannot be in order.
        m_isBroken = true;
        m_end.detail = event && !event->error.empty() ? std::string(event->error.substr(0, maximumDetail)) : "The engine sent an event that cannot be read.";
        return;
    }
    if (!event->text.empty() || (event->finishReason.empty() && !event->usage)) {
        m_batch += event->text;
        ++m_batchTokens;
    }
    if (!event->finishReason.empty()) {
        m_end.finishReason = event->finishReason;
    }
    if (event->usage) {
        m_end.usage = event->usage;
    }
}

void CompletionCall::finishAnswer(int status, BackendEnd &end)
{
    if (status != statusOk) {
        end.kind = BackendEnd::Kind::Rejected;
    } else {
        end.kind = m_isDone && !m_isBroken ? BackendEnd::Kind::Complete : BackendEnd::Kind::Lost;
    }
}

void ServiceCall::receiveData(int, std::string_view data)
{
    sendOutput(data, 0);
}

void ServiceCall::receiveUnframedEnd()
{
    m_end.isUnframed = true;
}

void ServiceCall::finishAnswer(int, BackendEnd &end)
{
    end.kind = BackendEnd::Kind::Complete;
}

} // namespace Verbena::Agent
