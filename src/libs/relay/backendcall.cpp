#include "backendcall.h"

#include <eventloop/loop.h>

namespace Verbena::Relay {

using Decisions::CallFailure;

namespace {

// Backend servers send short heads; a longer one is malformed.
constexpr std::uint32_t maximumHeadBytes = 64 * 1024;

constexpr int firstFinalStatus = 200;

} // namespace

Core::Result<std::unique_ptr<BackendCall>> BackendCall::create(
    EventLoop::Loop &loop, const Http::Endpoint &endpoint, std::string_view request, bool isHead, Core::TimePoint connectDeadline, CallObserver &observer)
{
    std::unique_ptr<BackendCall> call(new BackendCall(loop, isHead, observer));
    auto channel = Http::TcpChannel::connect(loop, endpoint, *call);
    if (!channel) {
        return channel.error();
    }
    call->m_channel = std::move(channel.value());
    call->m_channel->write(request);
    call->m_connectTimer.startAt(connectDeadline);
    return call;
}

BackendCall::BackendCall(EventLoop::Loop &loop, bool isHead, CallObserver &observer)
    : m_observer(observer)
    , m_reader(Http::MessageReader::Kind::Answers, *this, {maximumHeadBytes, std::nullopt})
    , m_connectTimer(loop, [this] {
        if (!m_channel->isConnected()) {
            m_observer.callFailed(CallFailure::NotSent, "no connection in time");
        }
    })
{
    if (isHead) {
        m_reader.expectNoBody();
    }
}

BackendCall::~BackendCall()
{
    if (m_isDestroyed != nullptr) {
        *m_isDestroyed = true;
    }
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

void BackendCall::setReading(bool isReading)
{
    m_channel->setReading(isReading);
}

void BackendCall::outputDrained()
{
    m_connectTimer.stop();
}

void BackendCall::receiveHead(Http::MessageHead head)
{
    m_isInterim = head.status < firstFinalStatus;
    if (!m_isInterim) {
        m_head = std::move(head);
    }
}

void BackendCall::receiveBody(std::string_view data)
{
    m_body.append(data);
}

void BackendCall::receiveEnd()
{
    m_isWhole = !m_isInterim;
}

std::optional<Http::MessageFault> BackendCall::readOn(std::string_view data)
{
    std::optional<Http::MessageFault> fault = m_reader.feed(data);
    while (!fault.has_value() && m_reader.isDone() && !m_isWhole) {
        fault = m_reader.next();
    }
    return fault;
}

void BackendCall::receiveBytes(std::string_view data)
{
    // Bytes after the complete answer belong to no request and are dropped.
    if (!m_isWhole) {
        deliver(readOn(data));
    }
}

void BackendCall::receiveEnd(Http::ChannelEnd end)
{
    if (m_isWhole) {
        return;
    }
    if (end == Http::ChannelEnd::Broken) {
        fail("the connection broke");
        return;
    }
    deliver(m_reader.feedEnd());
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
        const std::string detail = m_reader.faultDetail();
        fail((*fault == Http::MessageFault::Truncated ? "the answer broke off: " : "the answer is no HTTP: ") + detail);
    }
}

void BackendCall::fail(std::string_view reason)
{
    m_observer.callFailed(hasSent() ? CallFailure::Lost : CallFailure::NotSent, reason);
}

} // namespace Verbena::Relay
