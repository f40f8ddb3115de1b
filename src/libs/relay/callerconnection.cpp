#include "callerconnection.h"

#include "messagerefusal.h"

#include <eventloop/loop.h>
#include <http/idletimeout.h>

#include <algorithm>

namespace Verbena::Relay {

using Http::HttpField;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Time that a caller has to close the connection when it has the last answer.
constexpr std::chrono::milliseconds lingerTime{1500};

// Interval at which a caller is looked at that has not read the whole of an answer that has ended.
constexpr std::chrono::milliseconds deliveryCheckInterval{250};

// Time after which a caller whose request was refused for lack of memory should retry; callers that read have read what waits for them by then.
constexpr std::chrono::milliseconds memoryRetryDelay{500};

// The same for a caller whose request was refused for lack of descriptors; its retry may reach another router.
constexpr std::chrono::milliseconds descriptorRetryDelay{250};

// Time that a caller has from the accept of its connection until its first request arrives before the connection counts as idle: several round trips.
constexpr std::chrono::milliseconds firstRequestTime{500};

} // namespace

CallerConnection::CallerConnection(EventLoop::Loop &loop, int descriptor, ConnectionOwner &owner)
    : m_loop(loop)
    , m_owner(owner)
    , m_memory(owner.memory(), owner.bodies())
    , m_pendingBytes(owner.memory().budget(), Decisions::HeldKind::PartialAnswers)
    , m_channel(Http::TcpChannel::adopt(loop, descriptor, *this))
    , m_reader(owner.limits())
    , m_timer(loop, [this] { handleTimeout(); })
    , m_finish(loop, [this] { finishExchange(); })
    , m_halfClose(loop, *this)
    , m_idleSince(loop.now())
    , m_firstRequestDeadline(m_idleSince + firstRequestTime)
{
    m_channel->setMeter(createMeter(&owner.memory().budget(), Decisions::HeldKind::UnsentToCallers));
    m_channel->setKernelMeter(createMeter(&owner.memory().budget(), Decisions::HeldKind::InKernelForCallers));
    m_channel->setUnreadMeter(createMeter(&owner.memory().budget(), Decisions::HeldKind::UnreadInKernel));
    m_idleDeadline = m_idleSince + owner.limits().idleTimeout;
    m_timer.startAt(m_idleDeadline);
}

CallerConnection::~CallerConnection() = default;

bool CallerConnection::isBusy() const
{
    return m_state != State::Reading || m_reader.hasBegun() || unsentBytes() > 0;
}

Core::TimePoint CallerConnection::idleSince() const
{
    return m_idleSince;
}

std::size_t CallerConnection::unsentBytes() const
{
    return m_channel->bufferedBytes();
}

bool CallerConnection::hasUntakenBytes() const
{
    return unsentBytes() > 0 || m_channel->kernelBytes() > 0;
}

std::size_t CallerConnection::heldBytes() const
{
    return m_channel->heldBytes() + m_channel->kernelBytes();
}

Core::TimePoint CallerConnection::lastReadAt() const
{
    return m_delivery.lastReadAt();
}

void CallerConnection::updateKernelBytes()
{
    m_channel->updateKernelBytes();
    if (m_request != nullptr) {
        m_request->updateKernelBytes();
    }
}

void CallerConnection::updateUnreadBytes()
{
    m_channel->updateUnreadBytes();
    if (m_request != nullptr) {
        m_request->updateUnreadBytes();
    }
}

bool CallerConnection::mayHaveUnreadBytes() const
{
    return m_request != nullptr || m_channel->unreadBytes() > 0;
}

void CallerConnection::updateLastRead()
{
    m_delivery.recordUnacknowledged(m_channel->unacknowledgedBytes(), m_loop.now());
}

void CallerConnection::cutOff()
{
    m_channel->resetOnClose();
    m_owner.connectionEnded(this, CloseReason::MemoryShortage);
}

void CallerConnection::markIncomplete()
{
    // Without a length or chunks, only a reset tells the caller that the answer is incomplete.
    if (m_state == State::Answering && !m_isAnswerEnded && !m_encoder.isChunked()) {
        m_channel->resetOnClose();
    }
}

bool CallerConnection::isIdleCandidate() const
{
    return !isBusy() && m_loop.now() >= m_firstRequestDeadline;
}

bool CallerConnection::endIfIdle()
{
    return isIdleCandidate() && !m_delivery.isPending() && endIfNothingArrived(CloseReason::Shutdown);
}

bool CallerConnection::isDelivering() const
{
    return m_delivery.isPending();
}

bool CallerConnection::mayMakeRoom() const
{
    return isIdleCandidate() || (m_state == State::Lingering && m_delivery.isPending() && unsentBytes() == 0);
}

// The system goes on sending what it holds for some seconds.
bool CallerConnection::makeRoom()
{
    return mayMakeRoom() && endIfNothingArrived(CloseReason::DescriptorShortage);
}

// A caller takes what it has sent for accepted, whether it was read or is still in the kernel.
bool CallerConnection::endIfNothingArrived(CloseReason reason)
{
    if (m_channel->hasUnreadBytes()) {
        return false;
    }
    m_owner.connectionEnded(this, reason);
    return true;
}

void CallerConnection::refuseNextRequest()
{
    m_isOverDescriptorLimit = true;
}

void CallerConnection::refuseUnread()
{
    if (m_request == nullptr && m_state == State::Reading && m_reader.hasBegun()) {
        refuse({503, "This router ends; the request was not read whole and has not run.", RelayedRequest::endRetryDelay}, m_reader.head());
    }
}

void CallerConnection::giveUp()
{
    if (m_request != nullptr) {
        m_request->giveUp();
    }
}

void CallerConnection::receiveBytes(std::string_view data)
{
    if (m_isAnswerEnded && m_state == State::Answering) {
        finishExchange();
    }
    // A request that waits for memory was read whole; what follows it belongs to no request that will be read.
    if (m_state != State::Reading || m_memory.isWaiting()) {
        drop(data.size());
        return;
    }
    const bool isFirst = !m_reader.hasBegun();
    const bool wasHeadDone = m_reader.isHeadDone();
    const std::optional<Http::MessageFault> fault = m_reader.feed(data, m_owner.limits().bodyBytes);
    if (fault.has_value()) {
        refuse(*fault);
        return;
    }
    if (const std::size_t surplus = m_reader.dropSurplus(); surplus > 0) {
        drop(surplus);
    }
    // Empty lines before a request begin none.
    if (!m_reader.hasBegun()) {
        if (!m_delivery.isPending()) {
            m_timer.startAt(m_idleDeadline);
        }
        return;
    }
    if (isFirst) {
        m_requestBegin = m_loop.now();
    }
    if (!reserveOrWait()) {
        return;
    }
    if (m_reader.isDone()) {
        answerRequest();
        return;
    }
    if (!answerExpectation()) {
        return;
    }
    // The time limit covers the whole head, but restarts with each part of the body.
    if (isFirst || m_reader.isHeadDone() || wasHeadDone) {
        m_isTimeoutPostponed = false;
        m_timer.startAt(m_loop.now() + m_owner.limits().headerTimeout);
    }
}

// What a caller was about to send when it got its answer is taken from it, so that it reads the answer.
void CallerConnection::drop(std::size_t bytes)
{
    m_isClosing = true;
    m_dropped.add(bytes);
    if (mayTakeNoMore()) {
        m_channel->setReading(false);
    }
}

bool CallerConnection::mayTakeNoMore() const
{
    return m_dropped.isEnough(m_owner.limits(), m_state == State::Lingering);
}

void CallerConnection::resumeReading()
{
    m_channel->setReading(!mayTakeNoMore());
}

// A FIN says that no more requests come, not that nobody reads what is due.
void CallerConnection::receiveEnd(Http::ChannelEnd end)
{
    if (end == Http::ChannelEnd::Broken) {
        m_owner.connectionEnded(this, CloseReason::CallerReset);
        return;
    }
    handleHalfClose();
}

void CallerConnection::handleHalfClose()
{
    m_isClosing = true;
    m_halfClose.begin();
    if (hasWaitingRequest() || m_isAnswerEnded) {
        return;
    }
    if (!isUndelivered()) {
        m_owner.connectionEnded(this, closeReasonAtEnd());
    } else if (m_state != State::Lingering) {
        linger();
    }
}

// The reason of a close after the caller's FIN, when nothing has to be delivered.
CloseReason CallerConnection::closeReasonAtEnd() const
{
    if (m_state == State::Lingering) {
        return CloseReason::Answered;
    }
    return m_reader.hasBegun() ? CloseReason::RequestIncomplete : CloseReason::CallerClosed;
}

bool CallerConnection::hasWaitingRequest() const
{
    const bool waitsForMemory = m_memory.isWaiting() && m_reader.isDone();
    return waitsForMemory || (m_state == State::Answering && !m_isAnswerEnded);
}

bool CallerConnection::isUndelivered() const
{
    return unsentBytes() > 0 || m_delivery.isPending();
}

std::optional<Decisions::HalfClosedRequest> CallerConnection::waitingRequest() const
{
    if (!hasWaitingRequest()) {
        return std::nullopt;
    }
    // Bytes that the caller's host has not acknowledged bring a reset if its caller has left.
    const bool isAsked = m_channel->unacknowledgedBytes() > 0;
    const bool endsWithCaller = !isAsked && (m_request == nullptr || m_request->endsWithCaller());
    return Decisions::HalfClosedRequest{endsWithCaller, m_encoder.canProbe() && unsentBytes() == 0};
}

bool CallerConnection::isReset() const
{
    return m_channel->isReset();
}

void CallerConnection::writeProbe()
{
    sendBody(m_encoder.takeProbe());
}

void CallerConnection::closeForLeftCaller(CloseReason reason)
{
    markIncomplete();
    m_owner.connectionEnded(this, reason);
}

OpenExchange CallerConnection::openExchange() const
{
    if (hasWaitingRequest() || m_isAborted) {
        return m_encoder.isHeadBegun() ? OpenExchange::Rest : OpenExchange::Answer;
    }
    if (m_state == State::Reading && m_reader.hasBegun()) {
        return OpenExchange::Request;
    }
    return isUndelivered() ? OpenExchange::Delivery : OpenExchange::None;
}

CallerCloseReport CallerConnection::closeReport(CloseReason reason) const
{
    const Core::TimePoint now = m_loop.now();
    CallerCloseReport report;
    report.reason = reason;
    report.exchange = openExchange();
    if (isUnanswered(report.exchange) && m_request != nullptr) {
        report.attemptId = m_request->attemptId();
        report.serverId = m_request->serverId();
        report.isPassedOn = m_request->isPassedOn();
    }
    const bool isIdle = report.exchange == OpenExchange::None;
    report.waited = isIdle ? milliseconds(0) : duration_cast<milliseconds>(now - m_requestBegin);
    report.idle = isIdle ? duration_cast<milliseconds>(now - m_idleSince) : milliseconds(0);
    report.unsentBytes = unsentBytes();
    if (m_halfClose.isBegun()) {
        report.halfClosedFor = duration_cast<milliseconds>(now - *m_halfClose.begunAt());
    }
    return report;
}

void CallerConnection::outputSent()
{
    m_delivery.recordRead(m_loop.now());
}

void CallerConnection::outputDrained()
{
    resumeReading();
    if (m_state == State::Answering && m_request != nullptr && !m_isAnswerEnded) {
        m_request->outputDrained();
    }
    if (m_state == State::Lingering && !m_isAborted && m_halfClose.isBegun() && !m_delivery.isPending()) {
        awaitCaller();
    }
}

void CallerConnection::answerRequest()
{
    if (m_isOverDescriptorLimit) {
        refuse({503, "This router has too many connections; the request has not run.", descriptorRetryDelay}, m_reader.head());
        return;
    }
    m_state = State::Answering;
    m_delivery.beginAnswer();
    m_timer.stop();
    m_encoder.beginAnswer(m_reader.head());
    m_isClosing = m_isClosing || !m_reader.head().isKeptAlive;
    m_isAnswerEnded = false;
    m_request = m_owner.beginRequest(m_reader.takeHead(), m_reader.takeBody(), *this);
    m_request->start();
}

void CallerConnection::refuse(Http::MessageFault fault)
{
    const Refusal refusal = refusalOf(fault);
    if (const std::optional<std::string_view> bound = Http::exceededBoundName(fault)) {
        m_owner.reportTooLong(*bound, refusal.status);
    }
    refuse(refusal);
}

// Returns false if the request waits or has been refused.
bool CallerConnection::reserveOrWait()
{
    if (m_memory.tryReserve(extent())) {
        m_reader.reserveBody();
        return true;
    }
    if (!m_memory.mayWait(extent()) || m_owner.latestBodyStart(m_reader.head()) <= m_loop.now()) {
        refuseForMemory();
        return false;
    }
    awaitMemory();
    return false;
}

RequestExtent CallerConnection::extent() const
{
    return m_reader.extent(m_owner.limits().bodyBytes);
}

// What the caller sends meanwhile stays in the kernel, which counts as well. A request that has been read whole goes on reading, to notice that its caller
// leaves.
void CallerConnection::awaitMemory()
{
    m_memory.wait(extent(), m_loop.now(), [this] { readOn(); });
    m_encoder.beginAnswer(m_reader.head());
    m_channel->setReading(m_reader.isDone());
    m_timer.startAt(m_owner.latestBodyStart(m_reader.head()));
}

void CallerConnection::readOn()
{
    m_memory.endWait(extent());
    m_reader.reserveBody();
    resumeReading();
    if (m_reader.isDone()) {
        answerRequest();
        return;
    }
    if (!answerExpectation()) {
        return;
    }
    m_timer.startAt(m_loop.now() + m_owner.limits().headerTimeout);
}

// A caller that asks first gets its answer as soon as there is room for its body. Returns false if the request is refused instead: its body would be sent for
// nothing. Nobody can tell whether it follows nevertheless, so the connection is closed.
bool CallerConnection::answerExpectation()
{
    if (!m_reader.isHeadDone() || m_reader.hasBody() || !m_expectation.isPending(m_reader.head())) {
        return true;
    }
    if (m_isOverDescriptorLimit || m_owner.isRefused(m_reader.head())) {
        m_isClosing = true;
        answerRequest();
        return false;
    }
    send(m_expectation.takeAnswer());
    return true;
}

void CallerConnection::refuseForMemory()
{
    m_memory.reportRefusal(extent(), m_loop.now());
    refuse({503, "There is too little memory for the body of the request; it has not run.", memoryRetryDelay}, m_reader.head());
}

void CallerConnection::refuse(const Refusal &refusal, const Http::MessageHead &head)
{
    m_state = State::Answering;
    m_delivery.beginAnswer();
    m_isClosing = true;
    m_encoder.beginAnswer(head);
    m_reader.discard();
    resumeReading();
    m_memory.release();
    respond(refusal.status, m_owner.refusalFields(refusal, head), refusal.message);
}

void CallerConnection::send(std::string_view data)
{
    if (unsentBytes() == 0) {
        m_delivery.recordRead(m_loop.now());
    }
    m_channel->setSendBound(m_owner.memory().budget().unsentBound());
    m_channel->write(data);
    m_halfClose.recordWrite();
    // An answer that waits for its caller holds a place at a backend server.
    if (m_state == State::Answering && isFull() && !m_timer.isActive()) {
        updateLastRead();
        m_timer.startAt(m_loop.now() + m_owner.limits().idleTimeout);
    }
}

// Whatever ends the connection while a probe is the last that was sent, the end of this process too, must not look like the end of the body.
void CallerConnection::sendBody(std::string_view data)
{
    send(data);
    m_channel->resetOnClose(m_encoder.isProbeOpen());
}

// A caller that is not told how long an idle connection lives sends its next request while the connection is closed, and cannot know whether it has run.
void CallerConnection::updateClosing()
{
    m_answerLimits = m_owner.limits();
    m_isClosing = m_isClosing || m_owner.isDraining() || !Http::announcedIdleTimeout(m_answerLimits.idleTimeout).has_value();
}

AnswerHead CallerConnection::answerHead(int status, const std::vector<HttpField> &fields) const
{
    AnswerHead head(status, fields);
    head.setIdleTimeout(m_isClosing ? std::nullopt : Http::announcedIdleTimeout(m_answerLimits.idleTimeout));
    return head;
}

RelayedRequest *CallerConnection::request() const
{
    return m_request.get();
}

void CallerConnection::respond(int status, const std::vector<HttpField> &fields, std::string_view body)
{
    updateClosing();
    send(m_encoder.whole(answerHead(status, fields), body));
    m_isAnswerEnded = true;
    m_finish.schedule();
}

void CallerConnection::beginAnswer(int status, const std::vector<HttpField> &fields, std::optional<std::uint64_t> length)
{
    m_isClosing = m_isClosing || m_encoder.endsByClose(length);
    updateClosing();
    send(m_encoder.head(answerHead(status, fields), length));
}

void CallerConnection::write(std::string_view data)
{
    if (data.empty() || !m_encoder.hasBody()) {
        return;
    }
    if (m_encoder.isChunked()) {
        sendBody(m_encoder.chunk(data));
    } else {
        sendBody(data);
    }
}

void CallerConnection::endAnswer()
{
    const std::string end = m_encoder.end();
    if (!end.empty()) {
        sendBody(end);
    }
    m_isAnswerEnded = true;
    m_finish.schedule();
}

void CallerConnection::abortAnswer()
{
    markIncomplete();
    m_isAborted = true;
    m_isAnswerEnded = true;
    m_state = State::Lingering;
    m_finish.schedule();
}

void CallerConnection::setPendingBytes(std::size_t bytes)
{
    m_pendingBytes.set(bytes);
}

std::size_t CallerConnection::bufferBound() const
{
    return m_owner.memory().budget().bufferBound();
}

std::uint64_t CallerConnection::eventBound() const
{
    return m_owner.memory().budget().eventBound(m_pendingBytes.bytes());
}

bool CallerConnection::isFull() const
{
    return unsentBytes() > m_owner.memory().budget().unsentBound();
}

void CallerConnection::finishExchange()
{
    if (!m_isAnswerEnded) {
        return;
    }
    if (m_isAborted) {
        m_owner.connectionEnded(this, CloseReason::AnswerBrokenOff);
        return;
    }
    m_isAnswerEnded = false;
    m_request.reset();
    m_memory.release();
    m_pendingBytes.set(0);
    if (m_isClosing) {
        linger();
        return;
    }
    m_state = State::Reading;
    m_idleSince = m_loop.now();
    m_firstRequestDeadline = {}; // For the first request only.
    m_isTimeoutPostponed = false;
    m_expectation = {};
    m_reader.next();
    // A caller that sends requests and does not read the answers gets no further ones.
    m_channel->setReading(!isFull());
    awaitDelivery();
}

// The system may hold the end of an answer for long, and what is promised to a caller counts from the moment at which it has the answer.
void CallerConnection::awaitDelivery()
{
    updateLastRead();
    m_delivery.finishAnswer();
    if (m_delivery.isPending()) {
        m_timer.startAt(m_loop.now() + deliveryCheckInterval);
    } else {
        awaitCaller();
    }
}

void CallerConnection::awaitCaller()
{
    if (m_state == State::Lingering) {
        // A caller that has ended its sending side has nothing more to send that would take the answer from it.
        const bool isDone = m_halfClose.isBegun() && unsentBytes() == 0;
        m_timer.startAt(m_loop.now() + (isDone ? milliseconds(0) : lingerTime));
        return;
    }
    m_idleDeadline = m_loop.now() + std::max(m_answerLimits.idleTimeout, m_owner.limits().idleTimeout);
    m_timer.startAt(m_idleDeadline);
}

void CallerConnection::linger()
{
    m_state = State::Lingering;
    m_channel->shutdownOutput();
    resumeReading();
    awaitDelivery();
}

// An answer that is ready is delivered as long as its caller reads.
void CallerConnection::handleTimeout()
{
    if (m_memory.isWaiting()) {
        refuseForMemory();
        return;
    }
    // What has come at the last moment is read in the next iteration of the loop.
    if (m_state == State::Reading && !m_isTimeoutPostponed && m_channel->hasUnreadBytes()) {
        m_isTimeoutPostponed = true;
        m_timer.startAt(m_loop.now());
        return;
    }
    if (m_state == State::Reading && m_reader.hasBegun()) {
        refuse({408, "The request did not come in time.", std::nullopt});
        return;
    }
    if (m_state == State::Answering && unsentBytes() == 0) {
        return;
    }
    // What the system held for a caller whose host has reset the connection is never acknowledged.
    if (m_halfClose.isBegun() && m_channel->isReset()) {
        m_owner.connectionEnded(this, CloseReason::CallerReset);
        return;
    }
    updateLastRead();
    if (m_delivery.endIfRead()) {
        awaitCaller();
        return;
    }
    const Core::TimePoint now = m_loop.now();
    const Core::TimePoint readDeadline = m_delivery.lastReadAt() + m_owner.limits().idleTimeout;
    if ((m_delivery.isPending() || m_state == State::Answering) && now < readDeadline) {
        m_timer.startAt(m_delivery.isPending() ? std::min(readDeadline, now + deliveryCheckInterval) : readDeadline);
        return;
    }
    markIncomplete();
    m_owner.connectionEnded(this, timeoutReason());
}

CloseReason CallerConnection::timeoutReason() const
{
    if (m_state == State::Answering || isUndelivered()) {
        return CloseReason::AnswerUnread;
    }
    return m_state == State::Lingering ? CloseReason::Answered : CloseReason::IdleTimeout;
}

} // namespace Verbena::Relay
