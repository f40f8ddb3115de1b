#include "backendcall.h"

#include <eventloop/loop.h>
#include <http/idletimeout.h>

namespace Verbena::Relay {

using Decisions::CallFailure;

namespace {

// Backend servers send short heads; a longer one is malformed.
constexpr std::uint32_t maximumHeadBytes = 64 * 1024;

constexpr int firstServerErrorStatus = 500;

thread_local std::size_t openCalls = 0;

bool keepsConnection(const Http::MessageHead &head)
{
    return head.isVersion11 && head.isKeptAlive && !head.isEndedByClose && head.status < firstServerErrorStatus;
}

std::string_view faultText(Http::MessageFault fault)
{
    if (Http::exceededBoundName(fault).has_value()) {
        return "a part of the answer is too long: ";
    }
    return fault == Http::MessageFault::Truncated ? "the answer broke off: " : "the answer is no HTTP: ";
}

} // namespace

Core::Result<std::unique_ptr<BackendCall>> BackendCall::create(EventLoop::Loop &loop,
    const Http::Endpoint &endpoint,
    const Http::OutgoingMessage &request,
    const CallOptions &options,
    Core::TimePoint connectDeadline,
    CallObserver &observer)
{
    std::unique_ptr<BackendCall> call(new BackendCall(loop, options, observer));
    auto channel = Http::TcpChannel::connect(loop, endpoint, *call, options.receiveBytes);
    if (!channel) {
        return channel.error();
    }
    call->m_channel = std::move(channel.value());
    call->m_requestBytes = request.bytes();
    call->m_channel->write(request);
    call->m_timer.startAt(connectDeadline);
    return call;
}

// Nothing may happen between the check and the sending: a connection that the server closed before is known to be unused.
std::unique_ptr<BackendCall> BackendCall::reuse(EventLoop::Loop &loop,
    std::unique_ptr<Http::TcpChannel> channel,
    const Http::OutgoingMessage &request,
    Core::TimePoint acknowledgeDeadline,
    CallObserver &observer)
{
    std::unique_ptr<BackendCall> call(new BackendCall(loop, {.isRepeatable = true}, observer));
    channel->handOver(*call);
    call->m_channel = std::move(channel);
    call->m_requestBytes = request.bytes();
    call->m_isReused = true;
    if (!call->m_channel->isIdle()) {
        return nullptr;
    }
    call->m_channel->writeNow(request);
    if (!call->hasSent()) {
        return nullptr;
    }
    call->m_timer.startAt(acknowledgeDeadline);
    return call;
}

BackendCall::BackendCall(EventLoop::Loop &loop, const CallOptions &options, CallObserver &observer)
    : m_loop(loop)
    , m_observer(observer)
    , m_reader(Http::MessageReader::Kind::Answers, *this, {maximumHeadBytes, std::nullopt})
    , m_timer(loop, [this] { handleTimeout(); })
    , m_isRepeatable(options.isRepeatable)
{
    ++openCalls;
    if (options.isHead) {
        m_reader.expectNoBody();
    }
}

// The kernel would go on sending the request after an orderly close, and a server that is reached again later would run it.
BackendCall::~BackendCall()
{
    --openCalls;
    if (m_isDestroyed != nullptr) {
        *m_isDestroyed = true;
    }
    if (m_channel != nullptr && !m_isWhole && isUnacknowledged()) {
        m_channel->resetOnClose();
    }
}

std::size_t BackendCall::openCount()
{
    return openCalls;
}

bool BackendCall::isUnacknowledged() const
{
    return m_channel->unacknowledgedBytes() >= m_requestBytes;
}

bool BackendCall::hasSent() const
{
    return m_channel->hasSent();
}

bool BackendCall::isWhole() const
{
    return m_isWhole;
}

void BackendCall::setMeter(std::unique_ptr<Http::ByteMeter> meter)
{
    m_channel->setMeter(std::move(meter));
}

void BackendCall::setKernelMeter(std::unique_ptr<Http::ByteMeter> meter)
{
    m_channel->setKernelMeter(std::move(meter));
}

void BackendCall::updateKernelBytes()
{
    m_channel->updateKernelBytes();
}

void BackendCall::setUnreadMeter(std::unique_ptr<Http::ByteMeter> meter)
{
    m_channel->setUnreadMeter(std::move(meter));
}

void BackendCall::updateUnreadBytes()
{
    m_channel->updateUnreadBytes();
}

void BackendCall::setSendBound(std::size_t bytes)
{
    m_channel->setSendBound(bytes);
}

void BackendCall::setAnswerMeter(std::unique_ptr<Http::ByteMeter> meter)
{
    m_answerMeter = std::move(meter);
}

std::size_t BackendCall::answerHeadBytes() const
{
    return m_reader.headBytes();
}

std::optional<Http::MessageFault> BackendCall::answerFault() const
{
    return m_fault;
}

bool BackendCall::isReused() const
{
    return m_isReused;
}

// A server may answer before it has read the whole request; what follows would be taken for the rest, and what is not acknowledged for the next request.
std::unique_ptr<Http::TcpChannel> BackendCall::releaseChannel()
{
    const bool isReusable = m_isWhole && m_isKeptAlive && m_reader.surplusBytes() == 0 && m_channel->isIdle() && m_channel->unacknowledgedBytes() == 0;
    if (!isReusable) {
        return nullptr;
    }
    m_channel->updateKernelBytes();
    m_channel->setUnreadMeter(nullptr);
    return std::move(m_channel);
}

std::optional<std::chrono::seconds> BackendCall::idleTimeout() const
{
    return m_idleTimeout;
}

void BackendCall::setReadBound(std::size_t bytes)
{
    m_channel->setReadBound(bytes);
}

void BackendCall::setReading(bool isReading)
{
    m_channel->setReading(isReading);
}

void BackendCall::outputDrained()
{
    m_isRequestSent = true;
    if (m_isReused) {
        return;
    }
    m_timer.stop();
    if (m_isRepeatable) {
        m_timer.startAt(m_loop.now() + acknowledgeTimeout);
    }
}

// A host may stop without a sign, and TCP would resend the request for seconds.
void BackendCall::handleTimeout()
{
    if (!m_channel->isConnected()) {
        m_observer.callFailed(CallFailure::NotSent, "no connection in time");
        return;
    }
    if (m_isRepeatable && isUnacknowledged()) {
        m_observer.callFailed(CallFailure::Unacknowledged, "the request was not acknowledged in time");
    }
}

void BackendCall::receiveHead(Http::MessageHead head)
{
    m_isKeptAlive = keepsConnection(head);
    m_idleTimeout = Http::idleTimeout(head);
    m_head = std::move(head);
}

void BackendCall::receiveBody(std::string_view data)
{
    m_body.append(data);
}

void BackendCall::receiveEnd()
{
    m_isWhole = true;
}

void BackendCall::receiveBytes(std::string_view data)
{
    // Bytes after the complete answer belong to no request and are dropped.
    if (m_isWhole) {
        m_isKeptAlive = false;
        return;
    }
    const std::optional<Http::MessageFault> fault = m_reader.feed(data);
    if (m_answerMeter != nullptr) {
        m_answerMeter->setBytes(m_reader.headBytes());
    }
    deliver(fault);
}

void BackendCall::receiveEnd(Http::ChannelEnd end)
{
    if (m_isWhole) {
        return;
    }
    if (end == Http::ChannelEnd::Broken) {
        fail(m_isRequestSent ? "the connection broke" : "the connection broke before the request was sent whole");
        return;
    }
    deliver(m_reader.feedEnd());
}

// A server may answer before it has read the whole request and then end the connection with the rest of it unread.
bool BackendCall::isRestWanted() const
{
    return !m_isWhole;
}

void BackendCall::deliver(std::optional<Http::MessageFault> fault)
{
    bool isDestroyed = false;
    m_isDestroyed = &isDestroyed;
    if (m_head.has_value()) {
        const Http::MessageHead head = std::move(*m_head);
        m_head.reset();
        m_observer.receiveAnswerHead(head);
        if (isDestroyed) {
            return;
        }
    }
    if (!m_body.empty()) {
        std::string body;
        body.swap(m_body);
        m_observer.receiveAnswerBody(body);
        if (isDestroyed) {
            return;
        }
    }
    m_isDestroyed = nullptr;
    if (m_isWhole) {
        m_observer.receiveAnswerEnd();
    } else if (fault.has_value()) {
        m_fault = fault;
        fail(std::string(faultText(*fault)) + m_reader.faultDetail());
    }
}

void BackendCall::fail(std::string_view reason)
{
    m_observer.callFailed(hasSent() ? CallFailure::Lost : CallFailure::NotSent, reason);
}

} // namespace Verbena::Relay
