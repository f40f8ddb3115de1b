#include "servercall.h"

#include "memoryguard.h"
#include "serverconnections.h"

#include <eventloop/loop.h>
#include <observe/metrics.h>

#include <algorithm>

namespace Verbena::Relay {

using Decisions::CallFailure;
using Decisions::FleetChoice;
using Decisions::RequestKind;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Subtracted from the time that a backend server is given, for the round trip.
constexpr milliseconds networkMargin{10};

// Time without a byte from a silent engine after which a request is taken off it; between the events of a stream much less passes.
constexpr milliseconds silentEngineTime{500};

// Time since the last report after which an engine counts as lost for what cannot be sent elsewhere. Callers give up after two seconds without an event at the
// earliest.
constexpr milliseconds lostEngineTime{2000};

} // namespace

ServerCall::ServerCall(const RelayContext &context, const RequestFacts &facts, CallObserver &observer)
    : m_context(context)
    , m_facts(facts)
    , m_observer(observer)
{
}

ServerCall::~ServerCall()
{
    abandon();
}

// Where this host has no descriptor or port left, the server has done nothing wrong.
Core::Result<void> ServerCall::open(const FleetChoice &choice, const CallProgress &progress)
{
    m_choice = choice;
    m_lastActivityAt = m_context.loop.now();
    m_context.fleet.recordSent(*m_choice, m_lastActivityAt);
    Core::Result<std::unique_ptr<BackendCall>> call = createCall(progress);
    m_isUnanswered = call.has_value();
    if (call) {
        m_call = std::move(call.value());
        m_call->setMeter(createMeter(m_context.memory, Decisions::HeldKind::UnsentToServers));
        m_call->setAnswerMeter(createMeter(m_context.memory, Decisions::HeldKind::PartialAnswers));
        m_call->setKernelMeter(createMeter(m_context.memory, Decisions::HeldKind::InKernelForServers));
        m_call->setUnreadMeter(createMeter(m_context.memory, Decisions::HeldKind::UnreadInKernel));
        updateReadBound();
        updateSendBound();
        return Core::success();
    }
    if (call.error().code == Core::ErrorCode::ResourceExhausted) {
        m_context.metrics.count("calls_refused_by_system_total");
        m_context.fleet.recordAbandoned(*m_choice);
    } else {
        m_context.fleet.recordFailure(*m_choice, Decisions::ServerFailure::Unreachable, m_context.loop.now());
    }
    return call.error();
}

Core::Result<std::unique_ptr<BackendCall>> ServerCall::createCall(const CallProgress &progress)
{
    const auto endpoint = Http::Endpoint::parse(m_choice->address);
    if (!endpoint) {
        return endpoint.error();
    }
    m_isConnectionKept = m_context.connections != nullptr && Decisions::mayKeepConnection(connectionUse(progress));
    const Http::OutgoingMessage message = callMessage(m_context.protocol, m_facts.head, m_facts.sharedBody, callContext(progress));
    if (m_isConnectionKept) {
        if (auto call = m_context.connections->reuse(server(), connectionUse(progress), message, m_observer)) {
            return call;
        }
    }
    m_context.metrics.count("server_connections_opened_total");
    const CallOptions options{m_facts.head.method == "HEAD", m_facts.route->isRepeatable(), receiveBufferBytes()};
    return BackendCall::create(m_context.loop, endpoint.value(), message, options, m_context.loop.now() + BackendCall::connectTimeout, m_observer);
}

Decisions::KeptConnectionUse ServerCall::connectionUse(const CallProgress &progress) const
{
    return {m_facts.route->isRepeatable(), progress.isAnswerBegun, !m_facts.query.attemptId.empty(), m_facts.head.method == "HEAD", progress.isSuspected};
}

CallContext ServerCall::callContext(const CallProgress &progress) const
{
    CallContext context;
    context.serverId = m_choice->serverId;
    context.organisation = m_facts.organisationName();
    const auto left = duration_cast<milliseconds>(m_facts.deadline - m_context.loop.now()) - networkMargin;
    context.timeLeft = std::max(milliseconds(1), left);
    context.weightsVersion = m_choice->weightsVersion;
    context.cacheScope = m_choice->cacheScope;
    context.cacheSource = m_choice->cacheSource;
    context.cacheStore = m_choice->cacheStore;
    context.priority = m_facts.priority();
    context.isConnectionKept = m_isConnectionKept;
    context.lastEventId = progress.lastEventId;
    return context;
}

void ServerCall::setChoice(const FleetChoice &choice)
{
    m_choice = choice;
}

const FleetChoice *ServerCall::choice() const
{
    return m_choice.has_value() ? &*m_choice : nullptr;
}

bool ServerCall::isOpen() const
{
    return m_call != nullptr;
}

bool ServerCall::isUnanswered() const
{
    return m_isUnanswered;
}

bool ServerCall::hasSent() const
{
    return m_call != nullptr && m_call->hasSent();
}

bool ServerCall::isWhole() const
{
    return m_call != nullptr && m_call->isWhole();
}

std::optional<Http::MessageFault> ServerCall::answerFault() const
{
    return m_call->answerFault();
}

void ServerCall::setReading(bool isReading)
{
    if (m_call != nullptr) {
        updateReadBound();
        m_call->setReading(isReading);
    }
}

void ServerCall::updateKernelBytes()
{
    if (m_call != nullptr) {
        m_call->updateKernelBytes();
    }
}

void ServerCall::updateUnreadBytes()
{
    if (m_call != nullptr) {
        m_call->updateUnreadBytes();
    }
}

std::size_t ServerCall::answerHeadBytes() const
{
    return m_call != nullptr ? m_call->answerHeadBytes() : 0;
}

CallFailure ServerCall::failureIfAbandoned() const
{
    return m_call->isUnacknowledged() ? CallFailure::Unacknowledged : CallFailure::Lost;
}

Decisions::ServerInstance ServerCall::server() const
{
    return {m_choice->serverId, m_choice->address, m_choice->incarnation};
}

RequestLabel ServerCall::label() const
{
    const auto sinceArrival = duration_cast<milliseconds>(m_context.loop.now() - m_facts.arrival);
    return {m_facts.query.attemptId, m_facts.service, m_choice.has_value() ? m_choice->serverId : "", sinceArrival};
}

WaitReport ServerCall::waitReport() const
{
    WaitReport report;
    if (m_call == nullptr) {
        return report;
    }
    const Core::TimePoint now = m_context.loop.now();
    report.sentAgo = duration_cast<milliseconds>(now - m_choice->sentAt);
    report.reportAge = m_context.fleet.reportAge(*m_choice, now);
    if (m_call->isUnacknowledged()) {
        report.waitingFor = WaitingFor::Acknowledgement;
    } else if (m_context.fleet.isSilent(*m_choice, now)) {
        report.waitingFor = WaitingFor::SilentEngine;
    } else {
        report.waitingFor = m_isUnanswered ? WaitingFor::Begin : WaitingFor::Rest;
    }
    return report;
}

bool ServerCall::isAtSilentEngine() const
{
    const Core::TimePoint now = m_context.loop.now();
    const bool isWaiting = m_call != nullptr && !m_call->isWhole();
    return isWaiting && now >= m_lastActivityAt + silentEngineTime && m_context.fleet.isSilent(*m_choice, now);
}

bool ServerCall::isEngineLost() const
{
    const std::optional<milliseconds> silence = m_context.fleet.reportAge(*m_choice, m_context.loop.now());
    return silence.has_value() && *silence >= lostEngineTime;
}

bool ServerCall::isEngineWaitingToLoad() const
{
    return m_context.fleet.isWaitingToLoad(*m_choice, m_context.loop.now());
}

// The first event shows that a stream has begun. The start of other answers cannot be observed, so these are not called back.
std::optional<Core::TimePoint> ServerCall::callBackTime() const
{
    if (m_call == nullptr || !m_isUnanswered || !m_facts.query.prompt.has_value() || m_facts.route->kind != RequestKind::Streaming) {
        return std::nullopt;
    }
    return m_context.fleet.callBackTime(*m_choice, m_facts.query.prompt->model);
}

void ServerCall::recordActivity()
{
    updateReadBound();
    m_lastActivityAt = m_context.loop.now();
    m_context.fleet.recordActivity(*m_choice, m_lastActivityAt);
}

int ServerCall::receiveBufferBytes() const
{
    if (m_context.memory == nullptr) {
        return Http::receiveBufferBytes;
    }
    const std::uint64_t memory = m_context.memory->receiveBound(BackendCall::openCount(), Http::receiveMemoryBytes);
    return static_cast<int>(memory) / Http::bufferMemoryFactor;
}

// What is read at once waits for the caller at once, and must not pass the bound by much.
void ServerCall::updateReadBound()
{
    if (m_context.memory != nullptr) {
        m_call->setReadBound(m_context.memory->readBound(BackendCall::openCount()));
    }
}

// The body of the request is counted whole beside what the kernel has taken of it.
void ServerCall::updateSendBound()
{
    if (m_context.memory != nullptr) {
        m_call->setSendBound(m_context.memory->unsentBound());
    }
}

AnswerMeaning ServerCall::meaningOf(int status, const AnswerMarks &marks, bool isAnswerBegun) const
{
    if (m_call->isReused() && marks.attemptId.empty()) {
        return AnswerMeaning::OfAnotherRequest;
    }
    return classifyAnswer(status, marks, m_facts.query.attemptId, isAnswerBegun);
}

void ServerCall::updateWeights(const AnswerMarks &marks)
{
    if (marks.weightsVersion.has_value() && m_facts.query.prompt.has_value()) {
        m_context.fleet.updateWeights(*m_choice, m_facts.query.prompt->model, *marks.weightsVersion);
    }
}

// Any answer of a backend server says this beside the answer to the request.
void ServerCall::recordMarks(const AnswerMarks &marks)
{
    updateWeights(marks);
    if (marks.load.has_value()) {
        m_context.fleet.recordLoad(*m_choice, *marks.load, m_context.loop.now());
    }
    if (m_context.fleet.recordLimit(*m_choice, marks.limit, m_context.loop.now())) {
        reportLimit(m_choice->serverId, marks.limit, "server");
    }
    if (marks.rest.has_value() && m_context.fleet.recordRest(*m_choice, *marks.rest, m_context.loop.now())) {
        m_context.metrics.count("server_rests_total");
        reportRest(label(), *marks.rest);
    }
    if (marks.isLeaving && m_context.fleet.markLeaving(*m_choice)) {
        m_context.metrics.count("servers_said_leaving_total");
        reportLeaving(label());
    }
}

void ServerCall::recordRefusal(const AnswerMarks &marks)
{
    if (marks.serverId.empty() || marks.serverId == m_choice->serverId) {
        recordMarks(marks);
        return;
    }
    m_context.fleet.markReplaced(*m_choice);
    reportReplaced(label(), marks.serverId);
}

void ServerCall::recordHead(const AnswerMarks &marks)
{
    m_isConnectionKept = m_isConnectionKept && !marks.attemptId.empty() && !marks.isLeaving;
}

// Completions that are not streamed begin their answer only after all of it has been generated.
void ServerCall::recordFirstPart(bool isSuccess)
{
    m_isUnanswered = false;
    const bool showsSpeed = !m_facts.query.prompt.has_value() || m_facts.route->kind == RequestKind::Streaming;
    if (showsSpeed && isSuccess) {
        m_context.fleet.recordWork(*m_choice, m_context.loop.now());
    }
    m_context.fleet.recordAnswered(*m_choice, m_context.loop.now());
}

void ServerCall::recordRunTime()
{
    if (m_call != nullptr) {
        m_context.fleet.recordRunTime(*m_choice, m_context.loop.now());
    }
}

void ServerCall::end()
{
    if (m_isConnectionKept) {
        m_context.connections->keep(server(), *m_call);
    }
    m_call.reset();
}

void ServerCall::fail(CallFailure failure)
{
    if (m_isUnanswered) {
        m_isUnanswered = false;
        const bool isUnreachable = failure == CallFailure::NotSent || failure == CallFailure::Unacknowledged || failure == CallFailure::Lost;
        m_context.fleet.recordFailure(*m_choice, isUnreachable ? Decisions::ServerFailure::Unreachable : Decisions::ServerFailure::Full, m_context.loop.now());
    }
    m_call.reset();
    dropConnections();
}

void ServerCall::abandon()
{
    if (m_isUnanswered) {
        m_isUnanswered = false;
        m_context.fleet.recordAbandoned(*m_choice);
    }
    m_call.reset();
}

void ServerCall::reset()
{
    m_call.reset();
}

void ServerCall::dropConnections()
{
    if (m_context.connections != nullptr) {
        m_context.connections->drop(m_choice->address, DropReason::CallFailed);
    }
}

} // namespace Verbena::Relay
