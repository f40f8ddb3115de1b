#include "answerforwarder.h"

#include "answermeaning.h"

namespace Verbena::Relay {

namespace {

// An event longer than this is no event of a completion.
constexpr std::size_t maximumEventBytes = 1024 * 1024;

// Many times the longest answer of a service that is no stream of events.
constexpr std::uint64_t maximumBodyBytes = 256 * 1024 * 1024;

BodyFraming framingOf(const Http::MessageHead &head)
{
    if (head.isChunked) {
        return BodyFraming::Chunks;
    }
    if (head.contentLength.has_value()) {
        return BodyFraming::Length;
    }
    return head.isEndedByClose ? BodyFraming::Close : BodyFraming::None;
}

} // namespace

std::string_view bodyFramingName(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Close:
        return "close";
    }
    return "unknown";
}

AnswerForwarder::AnswerForwarder(const RelayProtocol &protocol, AnswerSink &sink)
    : m_protocol(protocol)
    , m_sink(sink)
{
}

void AnswerForwarder::setRoute(const Decisions::RelayRoute &route)
{
    m_isStream = route.kind == Decisions::RequestKind::Streaming;
    m_isResumable = m_isStream && route.isResumable;
}

void AnswerForwarder::receiveHead(const Http::MessageHead &head)
{
    m_isServerError = head.status >= 500;
    if (!m_isBegun) {
        m_head = head;
    }
    m_framing = framingOf(head);
    m_state = State::Buffering;
    m_bodyBytes = 0;
}

bool AnswerForwarder::isEventStream() const
{
    return m_isStream && isSuccess(m_head.status) && !m_isServerError;
}

// What is no stream of events has no parts that a caller could have already, and is kept only up to the bounds of other answers.
bool AnswerForwarder::isSplit() const
{
    return m_isResumable && isEventStream();
}

bool AnswerForwarder::receiveBody(std::string_view data)
{
    m_bodyBytes += data.size();
    if (m_state == State::Buffering && (m_isBegun || isEventStream())) {
        m_state = State::Forwarding;
    }
    if (isEventStream() && !m_isResumable) {
        m_scanner.skip(data);
    }
    if (m_state == State::Forwarding) {
        forward(data);
        updatePendingBytes();
        return true;
    }
    m_buffer.append(data);
    if (m_buffer.size() > m_sink.bufferBound()) {
        m_state = State::Forwarding;
        std::string buffered;
        buffered.swap(m_buffer);
        forward(buffered);
    }
    updatePendingBytes();
    return false;
}

void AnswerForwarder::updatePendingBytes()
{
    const std::size_t errorBytes = m_error.has_value() ? m_error->body.capacity() : 0;
    m_sink.setPendingBytes(heldBytes() + errorBytes);
}

std::size_t AnswerForwarder::heldBytes() const
{
    return m_buffer.capacity() + (m_isResumable ? m_splitter.heldBytes() : 0);
}

void AnswerForwarder::forward(std::string_view data)
{
    const std::string forwarded = isSplit() ? m_splitter.feed(data) : std::string(data);
    if (forwarded.empty()) {
        return;
    }
    begin();
    m_sink.write(forwarded);
}

// A stream that may be continued by another backend server has no length that the first one could know.
void AnswerForwarder::begin()
{
    if (m_isBegun) {
        return;
    }
    m_isBegun = true;
    m_error.reset();
    m_sink.beginAnswer(m_head.status, m_protocol.answerFields(m_head), isSplit() ? std::optional<std::uint64_t>() : m_head.contentLength);
}

bool AnswerForwarder::isBuffered() const
{
    return m_state == State::Buffering && !m_isBegun;
}

void AnswerForwarder::sendBuffered()
{
    m_sink.respond(m_head.status, m_protocol.answerFields(m_head), m_buffer);
}

void AnswerForwarder::keepError()
{
    m_buffer.shrink_to_fit();
    m_error = WholeAnswer{m_head, std::move(m_buffer)};
    m_buffer.clear();
}

void AnswerForwarder::sendError()
{
    m_head = std::move(m_error->head);
    m_sink.respond(m_head.status, m_protocol.answerFields(m_head), m_error->body);
}

void AnswerForwarder::end()
{
    begin();
    m_sink.write(m_splitter.takePending());
    m_sink.endAnswer();
}

void AnswerForwarder::abort()
{
    m_sink.abortAnswer();
}

void AnswerForwarder::prepareNextCall()
{
    m_state = State::None;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_isServerError = false;
    m_framing = BodyFraming::None;
    m_scanner.reset();
    m_splitter.discardPending();
    updatePendingBytes();
}

bool AnswerForwarder::isBegun() const
{
    return m_isBegun;
}

bool AnswerForwarder::isContinuable() const
{
    return m_isStream && isSuccess(m_head.status);
}

bool AnswerForwarder::isServerError() const
{
    return m_isServerError;
}

AnswerEnding AnswerForwarder::ending() const
{
    return {m_framing, isInsideEvent(), hasEvent()};
}

bool AnswerForwarder::isInsideEvent() const
{
    return isEventStream() && (m_isResumable ? m_splitter.isInsideEvent() : m_scanner.isInsideEvent());
}

// A stream may be of any length, as its events come one by one until the deadline; those that the caller has already come once more at most.
std::optional<std::string_view> AnswerForwarder::exceededBoundName() const
{
    if (!isEventStream()) {
        return m_bodyBytes > maximumBodyBytes ? std::optional("body") : std::nullopt;
    }
    if ((m_isResumable ? m_splitter.pendingBytes() : m_scanner.pendingBytes()) > maximumEventBytes) {
        return "event";
    }
    return m_splitter.skippedBytes() > m_splitter.returnedBytes() + maximumEventBytes ? std::optional("skipped_events") : std::nullopt;
}

bool AnswerForwarder::isEventBeyondMemory() const
{
    return isSplit() && m_splitter.pendingBytes() > m_sink.eventBound();
}

bool AnswerForwarder::hasEvent() const
{
    return isEventStream() && (m_isResumable ? m_splitter.hasEvent() : m_scanner.hasEvent());
}

// With a length or a last chunk, the server itself says what is complete.
bool AnswerForwarder::isBrokenOff() const
{
    return m_framing == BodyFraming::Close && isInsideEvent();
}

int AnswerForwarder::status() const
{
    return m_head.status;
}

std::optional<std::uint64_t> AnswerForwarder::lastEventId() const
{
    return m_splitter.lastId();
}

} // namespace Verbena::Relay
