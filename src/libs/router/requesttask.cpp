#include "requesttask.h"

#include "requestfailure.h"
#include "routerevents.h"
#include "wireconversion.h"

#include <core/boundedspan.h>
#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>
#include <variant>

namespace Verbena::Router {

namespace {

using Decisions::AttemptEnd;
using Decisions::BackendServerId;

template<typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

RequestTask::RequestTask(const RequestContext &context, RequestPlan plan, std::shared_ptr<Http::HttpExchange> exchange, std::unique_ptr<AnswerWriter> writer)
    : m_context(context)
    , m_plan(std::move(plan))
    , m_exchange(std::move(exchange))
    , m_writer(std::move(writer))
    , m_tracker(m_plan.policy, context.budget)
    , m_deadlineTimer(context.loop, [this] { onDeadline(); })
    , m_connectTimer(context.loop, [this] { onConnectTimeout(); })
    , m_meter(context.metrics, m_plan.tenant, context.loop.now())
{
}

RequestTask::~RequestTask()
{
    if (!m_isFinished) {
        m_exchange->setClosedCallback(nullptr);
        m_exchange->setDrainedCallback(nullptr);
    }
}

const std::string &RequestTask::id() const
{
    return m_plan.id;
}

void RequestTask::start()
{
    m_deadlineTimer.startAt(m_plan.deadline);
    m_exchange->setClosedCallback([this] { onCallerGone(); });
    m_exchange->setDrainedCallback([this] { grantCredit(); });
    if (!m_plan.claim.has_value()) {
        perform(m_tracker.start());
        return;
    }
    const std::weak_ptr<RequestTask> self = weak_from_this();
    ClaimService &claims = m_context.claims;
    claims.claim(*m_plan.claim, m_plan.deadline, [self, &claims, claim = *m_plan.claim](const ClaimAnswer &answer) {
        const std::shared_ptr<RequestTask> task = self.lock();
        if (task != nullptr && !task->m_isFinished) {
            task->receiveClaim(answer);
        } else if (answer.outcome == ClaimOutcome::Granted) {
            claims.recordEnd(claim, Decisions::RunState::NotRun);
        }
    });
}

void RequestTask::receiveClaim(const ClaimAnswer &answer)
{
    if (answer.outcome == ClaimOutcome::Granted) {
        m_isClaimGranted = true;
        perform(m_tracker.start());
        return;
    }
    m_writer->fail(claimFailure(answer));
    end();
}

void RequestTask::perform(const Decisions::AttemptActions &actions)
{
    for (const Decisions::AttemptAction &action : actions) {
        std::visit(Overloaded{[this](const Decisions::DeliverText &delivery) { deliver(delivery); },
                       [this](const Decisions::DispatchAttempt &attempt) { dispatch(attempt); },
                       [this](const Decisions::CancelAttempt &attempt) { cancel(attempt); },
                       [this](const Decisions::FinishRequest &whole) { finish(whole); },
                       [this](const Decisions::FailRequest &failure) {
                           fail(failure);
                       }},
            action);
    }
}

void RequestTask::dispatch(const Decisions::DispatchAttempt &action)
{
    releaseServer();
    if (action.attempt > 1 && !m_plan.policy.isResumable) {
        m_writer->restart();
    }
    m_resumeTokens = action.resumeTokens;
    const std::optional<BackendServerId> chosen = chooseServer(action);
    if (!chosen.has_value()) {
        return;
    }
    const Core::Result<AgentLink *> link = m_context.links.open(*m_context.chooser.server(*chosen));
    m_server = *chosen;
    m_hasServer = true;
    m_context.links.addAttempt(m_server);
    if (!link) {
        handleSendFailure();
    } else if (link.value()->state() == AgentLink::State::Ready) {
        sendAttempt();
    } else {
        m_isWaitingForLink = true;
        m_connectTimer.startAt(m_context.loop.now() + m_context.settings.links.connectTimeout);
    }
}

// If no backend server can be chosen, the tracker decides on the answer to the caller.
std::optional<BackendServerId> RequestTask::chooseServer(const Decisions::DispatchAttempt &action)
{
    const Core::TimePoint now = m_context.loop.now();
    m_plan.query.excluded = m_tracker.excluded();
    const std::vector<BackendServerId> unreachable = m_context.links.unreachable();
    m_plan.query.excluded.insert(m_plan.query.excluded.end(), unreachable.begin(), unreachable.end());
    const Decisions::RouteDecision decision = m_context.chooser.choose(m_plan.query, now);
    if (decision.candidates.empty()) {
        perform(m_tracker.handleNoCandidate());
        return std::nullopt;
    }
    // A request whose answer has partly been delivered is not shed.
    const bool mayShed = action.resumeTokens == 0;
    for (const Decisions::RouteCandidate &candidate : decision.candidates) {
        if (!mayShed || !m_context.overload.isRefusing(candidate.id, m_plan.mark, now)) {
            return candidate.id;
        }
    }
    m_context.metrics.count("requests_shed_total");
    perform(m_tracker.handleOverload());
    return std::nullopt;
}

void RequestTask::sendAttempt()
{
    m_isWaitingForLink = false;
    m_connectTimer.stop();
    AgentLink *link = m_context.links.find(m_server);
    const Core::TimePoint now = m_context.loop.now();
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(m_plan.deadline - now);
    verbena::wire::Dispatch &dispatch = *m_plan.envelope.mutable_dispatch();
    dispatch.set_attempt(m_tracker.attempt());
    dispatch.set_deadline_left_us(static_cast<std::uint64_t>(std::max<std::int64_t>(0, left.count())));
    dispatch.set_resume_tokens(m_resumeTokens);
    dispatch.set_resume_text(m_resumeTokens > 0 ? m_writer->deliveredText() : std::string());
    if (link != nullptr) {
        dispatch.set_expected_incarnation(link->incarnation());
    }
    if (link == nullptr || !link->send(m_plan.envelope)) {
        handleSendFailure();
        return;
    }
    m_tracker.markSent(m_tracker.attempt(), m_server);
    m_uncreditedFrames = 0;
    m_expectedWork = m_context.chooser.expectedPrefill(m_server, m_plan.query, now);
    m_isWorkRecorded = true;
    m_context.chooser.recordDispatch(m_server, m_plan.query, m_expectedWork, now);
    m_context.metrics.count("attempts_total");
}

void RequestTask::handleSendFailure()
{
    m_isWaitingForLink = false;
    m_connectTimer.stop();
    perform(m_tracker.handleNotSent(m_tracker.attempt(), m_server));
}

void RequestTask::cancel(const Decisions::CancelAttempt &action)
{
    AgentLink *link = m_context.links.find(action.server);
    if (link == nullptr) {
        return;
    }
    verbena::wire::Envelope envelope;
    envelope.mutable_cancel()->set_request(m_plan.id);
    envelope.mutable_cancel()->set_attempt(action.attempt);
    // If the message cannot be sent, the agent ends the attempt at its deadline.
    static_cast<void>(link->send(envelope));
}

void RequestTask::receiveAdmitted(const verbena::wire::Admitted &admitted)
{
    if (admitted.attempt() != m_tracker.attempt() || m_isFinished) {
        return;
    }
    m_tracker.markAdmitted(admitted.attempt());
    if (m_isWorkRecorded) {
        m_isWorkRecorded = false;
        m_context.chooser.recordReply(m_server, m_plan.query, admitted.warm_pieces(), m_expectedWork, m_context.loop.now());
    }
}

void RequestTask::receiveRefused(const verbena::wire::Refused &refused)
{
    if (refused.attempt() != m_tracker.attempt() || m_isFinished) {
        return;
    }
    if (m_isWorkRecorded) {
        m_isWorkRecorded = false;
        m_context.chooser.recordRefusal(m_server, m_plan.query, routeRefusalOf(refused), m_expectedWork, m_context.loop.now());
    }
    m_context.metrics.count("attempts_refused_total");
    perform(
        m_tracker.handleRefusal(refused.attempt(), attemptRefusalOf(refused.reason()), Core::boundedSpan<std::chrono::microseconds>(refused.retry_after_us())));
}

void RequestTask::receiveFrame(const verbena::wire::Frame &frame)
{
    if (!m_isFinished) {
        perform(m_tracker.handleFrame(frame.attempt(), frame.sequence(), frame.text(), frame.tokens()));
    }
}

void RequestTask::deliver(const Decisions::DeliverText &delivery)
{
    m_meter.recordTokens(delivery.tokens, m_context.loop.now());
    m_writer->deliver(delivery.text);
    ++m_uncreditedFrames;
    if (isAnswerTooLarge()) {
        const Decisions::RunState run = m_tracker.runState();
        perform(m_tracker.handleCallerGone());
        m_writer->fail(tooLargeFailure(run));
        end();
        return;
    }
    grantCredit();
}

// What is kept of a completion is bounded by nothing else: an engine may send more than it was asked for.
bool RequestTask::isAnswerTooLarge() const
{
    const std::size_t serviceBytes = m_plan.policy.isResumable ? 0 : m_writer->bufferedBytes();
    return std::max(serviceBytes, m_writer->deliveredText().size()) > m_context.settings.streams.maximumAnswerBytes;
}

// While a caller does not read, the agent gets no credit, so the agent and through it the engine send no more.
void RequestTask::grantCredit()
{
    const StreamSettings &streams = m_context.settings.streams;
    const bool isReading = !m_plan.policy.isResumable || m_writer->bufferedBytes() <= streams.maximumBufferedBytes;
    if (m_isFinished || !isReading || m_uncreditedFrames < streams.frameCredit / 2) {
        return;
    }
    AgentLink *link = m_context.links.find(m_server);
    if (link == nullptr) {
        return;
    }
    verbena::wire::Envelope envelope;
    verbena::wire::Credit &credit = *envelope.mutable_credit();
    credit.set_request(m_plan.id);
    credit.set_attempt(m_tracker.attempt());
    credit.set_frames(m_uncreditedFrames);
    if (link->send(envelope)) {
        m_uncreditedFrames = 0;
    }
}

void RequestTask::receiveEnded(const verbena::wire::Ended &ended)
{
    if (m_isFinished || ended.attempt() != m_tracker.attempt()) {
        return;
    }
    m_ended = ended;
    const bool isCompletion = m_plan.policy.isResumable;
    perform(m_tracker.handleEnd(ended.attempt(), ended.sequence(), attemptEndOf(ended, isCompletion)));
}

void RequestTask::finish(const Decisions::FinishRequest &action)
{
    if (action.kind == AttemptEnd::Rejected && m_plan.policy.isResumable) {
        m_writer->fail(rejectionFailure(m_ended));
        end();
        return;
    }
    if (action.kind == AttemptEnd::Complete && m_ended.kind() != verbena::wire::END_KIND_COMPLETE) {
        // All tokens were received and only the Ended message was lost.
        m_ended.set_finish_reason("length");
        m_ended.set_prompt_tokens(m_plan.envelope.dispatch().prompt_tokens());
    }
    m_ended.set_completion_tokens(std::max(m_ended.completion_tokens(), m_tracker.deliveredTokens()));
    m_writer->finish(m_ended);
    m_context.metrics.count("requests_whole_total");
    if (m_plan.policy.isResumable) {
        m_meter.recordEnd(m_ended);
    }
    end();
}

void RequestTask::fail(const Decisions::FailRequest &failure)
{
    const RequestFailure answer = requestFailureOf(failure);
    m_context.metrics.count("requests_failed_total");
    Observe::log(requestFailed, {{"request", m_plan.id}, {"code", answer.code}, {"run", runStateName(failure.run)}});
    m_writer->fail(answer);
    end();
}

void RequestTask::handleAgentReady(BackendServerId server)
{
    if (m_isWaitingForLink && m_server == server) {
        sendAttempt();
    }
}

void RequestTask::handleAgentLost(BackendServerId server)
{
    if (m_hasServer && m_server == server && !m_isFinished) {
        discardExpectedWork(false);
        perform(m_tracker.handleAgentLost(m_tracker.attempt()));
    }
}

void RequestTask::giveUp()
{
    if (m_isFinished) {
        return;
    }
    const RequestFailure failure = shutdownFailure(m_tracker.runState());
    perform(m_tracker.handleCallerGone());
    m_context.metrics.count("requests_failed_total");
    Observe::log(requestFailed, {{"request", m_plan.id}, {"code", failure.code}, {"run", runStateName(failure.run)}});
    m_writer->fail(failure);
    end();
}

void RequestTask::onConnectTimeout()
{
    if (m_isWaitingForLink) {
        handleSendFailure();
    }
}

void RequestTask::onDeadline()
{
    if (!m_isFinished) {
        perform(m_tracker.handleDeadline());
    }
}

void RequestTask::onCallerGone()
{
    if (!m_isFinished) {
        m_context.metrics.count("callers_gone_total");
        perform(m_tracker.handleCallerGone());
        end();
    }
}

void RequestTask::discardExpectedWork(bool isAnswered)
{
    if (m_isWorkRecorded && !isAnswered) {
        m_context.chooser.recordNoAnswer(m_server, m_expectedWork);
    }
    m_isWorkRecorded = false;
}

void RequestTask::releaseServer()
{
    discardExpectedWork(false);
    m_isWaitingForLink = false;
    m_connectTimer.stop();
    if (m_hasServer) {
        m_hasServer = false;
        m_context.links.removeAttempt(m_server);
    }
}

void RequestTask::end()
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    releaseServer();
    m_deadlineTimer.stop();
    m_exchange->setClosedCallback(nullptr);
    m_exchange->setDrainedCallback(nullptr);
    if (m_isClaimGranted) {
        m_context.claims.recordEnd(*m_plan.claim, m_tracker.runState());
    }
    m_plan.slot.reset();
    m_context.listener.requestFinished(m_plan.id);
}

} // namespace Verbena::Router
