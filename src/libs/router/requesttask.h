#pragma once

#include "answerwriter.h"
#include "requestcontext.h"
#include "requestmeter.h"
#include "requestplan.h"

#include <http/httpexchange.h>

#include <memory>
#include <string>

namespace Verbena::Router {

/// \brief The processing of one caller's request: performs the actions that its AttemptTracker decides on.
class RequestTask : public std::enable_shared_from_this<RequestTask>
{
public:
    RequestTask(const RequestContext &context, RequestPlan plan, std::shared_ptr<Http::HttpExchange> exchange, std::unique_ptr<AnswerWriter> writer);
    ~RequestTask();

    RequestTask(const RequestTask &) = delete;
    RequestTask &operator=(const RequestTask &) = delete;

    const std::string &id() const;

    /// \brief Claims the idempotency key if there is one, and starts the first attempt.
    void start();

    void receiveAdmitted(const verbena::wire::Admitted &admitted);
    void receiveRefused(const verbena::wire::Refused &refused);
    void receiveFrame(const verbena::wire::Frame &frame);
    void receiveEnded(const verbena::wire::Ended &ended);

    /// \brief Sends the attempt that waits for the connection to \a server.
    void handleAgentReady(Decisions::BackendServerId server);

    /// \brief Handles that an attempt at \a server gets no further messages.
    void handleAgentLost(Decisions::BackendServerId server);

    /// \brief Answers the caller that the router ends, and cancels the attempt.
    void giveUp();

private:
    void receiveClaim(const ClaimAnswer &answer);
    void perform(const Decisions::AttemptActions &actions);
    void dispatch(const Decisions::DispatchAttempt &action);
    std::optional<Decisions::BackendServerId> chooseServer(const Decisions::DispatchAttempt &action);
    void sendAttempt();
    void handleSendFailure();
    void cancel(const Decisions::CancelAttempt &action);
    void finish(const Decisions::FinishRequest &action);
    void fail(const Decisions::FailRequest &failure);
    void end();
    void onDeadline();
    void onConnectTimeout();
    void onCallerGone();
    void deliver(const Decisions::DeliverText &delivery);
    void grantCredit();
    bool isAnswerTooLarge() const;
    void releaseServer();
    void discardExpectedWork(bool isAnswered);

    RequestContext m_context;
    RequestPlan m_plan;
    std::shared_ptr<Http::HttpExchange> m_exchange;
    std::unique_ptr<AnswerWriter> m_writer;
    Decisions::AttemptTracker m_tracker;
    EventLoop::Timer m_deadlineTimer;
    EventLoop::Timer m_connectTimer;
    RequestMeter m_meter;
    Decisions::BackendServerId m_server{};
    std::uint32_t m_resumeTokens = 0;
    bool m_hasServer = false; ///< Whether an attempt is assigned to m_server, sent or not.
    bool m_isWaitingForLink = false;
    bool m_isWorkRecorded = false; ///< Whether m_expectedWork counts as unanswered work of m_server.
    std::chrono::microseconds m_expectedWork{0}; ///< Expected prefill time of the attempt.
    std::uint32_t m_uncreditedFrames = 0; ///< Number of frames delivered since the last credit.
    bool m_isClaimGranted = false;
    bool m_isFinished = false;
    verbena::wire::Ended m_ended;
};

} // namespace Verbena::Router
