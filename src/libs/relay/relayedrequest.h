#pragma once

#include "answerforwarder.h"
#include "backendcall.h"
#include "crashcontrolhandle.h"
#include "parttimes.h"
#include "relaycontext.h"
#include "requestfacts.h"
#include "requestpreparation.h"
#include "requestreport.h"
#include "requestresends.h"
#include "servercall.h"
#include "servercheck.h"
#include "serverwait.h"

#include <decisions/relay/attemptpolicy.h>
#include <decisions/relay/crashsubject.h>
#include <decisions/relay/relaydirectory.h>
#include <decisions/relay/requestattempts.h>
#include <eventloop/timer.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Relay {

/// \brief Relays one request to a backend server and the answer back; destroying it cancels the request.
class RelayedRequest : private CallObserver
{
public:
    /// \brief Time after which a caller that is refused as this router ends should retry; another router takes its request at once.
    static constexpr std::chrono::milliseconds endRetryDelay{20};

    /// \brief \a directory is the configuration that applies to the request; null if there is none yet.
    RelayedRequest(const RelayContext &context,
        std::shared_ptr<const Decisions::RelayDirectory> directory,
        Http::MessageHead head,
        Http::SharedBody body,
        AnswerSink &sink);
    ~RelayedRequest() override;

    RelayedRequest(const RelayedRequest &) = delete;
    RelayedRequest &operator=(const RelayedRequest &) = delete;

    /// \brief Starts the request; it may be answered before this returns.
    void start();

    /// \brief Resumes reading the answer after all written bytes have been sent to the caller.
    void outputDrained();

    /// \brief Returns the deadline of the final answer.
    Core::TimePoint deadline() const;

    /// \brief Returns the id of the request; empty if it names none.
    const std::string &attemptId() const;

    /// \brief Returns the id of its last backend server; empty if there is none.
    std::string serverId() const;

    /// \brief Returns whether the request has reached a backend server.
    bool isPassedOn() const;

    /// \brief Returns whether its work should end once its caller has left: not if it may run only once and has been passed on, as it runs on anyway.
    bool endsWithCaller() const;

    /// \brief Returns whether the request waits for an engine that has fallen silent.
    bool isAtSilentEngine() const;

    /// \brief Brings up to date what the kernel holds for the backend server.
    void updateKernelBytes();

    /// \brief Asks the kernel what it holds of the backend server's answer.
    void updateUnreadBytes();

    /// \brief Returns the memory that giveUpAnswer() frees.
    std::size_t heldAnswerBytes() const;

    /// \brief Gives up the current call for want of memory, if its answer has not come whole.
    void giveUpAnswer();

    /// \brief Sends the request, or the rest of its stream, to another engine if it waits for a silent one and may be sent again. Otherwise answers
    /// it as lost if the engine has been silent for long.
    void failOver();

    /// \brief Returns the current call; nothing if the request waits to be sent or has its whole answer.
    std::optional<Decisions::RunningCall> runningCall() const;

    /// \brief Gives the request up if it waits to be sent and cannot be expected to end before the process does.
    void endIfTooLate();

    /// \brief Answers the request as lost, or cuts its answer, as the process ends; refuses it if it cannot have run.
    void giveUp();

    /// \brief Recomputes when the current call, if its engine has not begun it, has to be called back because of newer weights.
    void updateCallBackTimer();

private:
    /// Retry delay for refused callers if there is no better estimate: after nearly every failure, new requests are accepted again within a few hundred
    /// milliseconds.
    static constexpr std::chrono::milliseconds defaultRetryDelay{250};

    bool admit();
    std::chrono::milliseconds sinceArrival() const;
    std::chrono::microseconds remainingTime() const;
    bool isConfigurationOutdated() const;
    WaitReport waitReport() const;
    Decisions::AttemptState attempts() const;
    Decisions::AttemptState withAnswer(Decisions::AttemptState state) const;
    std::uint32_t arrivals() const;
    bool mayHaveRun() const;
    void handlePreparation(const std::optional<Refusal> &refusal);
    void begin();
    void dispatch();
    bool awaitServer();
    /// \brief Returns the requirements on the next backend server if the request is then in \a state.
    Decisions::FleetQuery fleetQuery(const Decisions::AttemptState &state);
    void moveOffWaitingEngine();
    void moveTo(const Decisions::FleetChoice &choice);
    Decisions::AttemptState attemptsIfAbandoned() const;
    bool mayGiveUpAnswer() const;
    bool mayFailOver();
    bool tryFailOver();
    CallProgress progress();
    bool sendTo(const Decisions::FleetChoice &choice);
    void receiveAnswerHead(const Http::MessageHead &head) override;
    void receiveAnswerBody(std::string_view data) override;
    void receiveAnswerEnd() override;
    void checkServer();
    void handleServerCheck(ServerCheck::Finding finding);
    void completeAnswer();
    void recordPauses();
    void recordRunTime();
    void callFailed(Decisions::CallFailure failure, std::string_view reason) override;
    void countTooLong(std::string_view bound);
    void handleFailure(Decisions::CallFailure failure, std::string_view reason);
    void closeCall(Decisions::CallFailure failure);
    void decide(Decisions::CallFailure failure, std::string_view reason);
    bool mayResendInTime(const Decisions::AttemptState &state, Decisions::CallFailure failure) const;
    bool mayResendAfterCheck(Decisions::CallFailure failure) const;
    void proceed(Decisions::CallFailure failure, Decisions::AttemptAction action);
    void awaitTrial(Decisions::CallFailure failure);
    void recordBarred(const TrialVerdict &verdict, const char *outcome);
    void refuseUnplaced();
    Decisions::AttemptAction chooseAction(Decisions::CallFailure failure);
    void handleResend(Decisions::CallFailure failure, bool isGranted);
    void sendAgain();
    void finish(Decisions::AttemptAction action);
    void refuse(int status, std::string_view message, std::chrono::milliseconds retryAfter = defaultRetryDelay);
    bool refuseIfOverloaded(const Decisions::FleetChoice &choice);
    std::chrono::microseconds acceptableWait(const Decisions::FleetChoice &choice) const;
    void handleDeadline();
    /// \brief Ends the current call, if there is one. Returns whether the request may have run.
    bool abandonCall();
    void resetCall();
    void refuseForEnd();
    void handleUnopenedCall(Core::ErrorCode code);
    void handleWeightsTooOld();
    void handleFirstPart();
    void logOutcome(int status, std::string_view outcome);

    const RelayContext &m_context;
    RequestFacts m_facts;
    AnswerSink &m_sink;
    EventLoop::Timer m_deadlineTimer;
    EventLoop::Timer m_weightsTimer; ///< Runs while the current call uses outdated weights and its engine has not begun it.
    ServerWait m_serverWait;
    RequestPreparation m_preparation;
    Decisions::RequestAttempts m_attempts;
    RequestResends m_resends;
    ServerCall m_call;
    std::unique_ptr<ServerCheck> m_serverCheck; ///< Runs after the current call's answer ended with its connection.
    bool m_hasServerEnded = false; ///< Whether that check has found that the server has ended.
    AnswerForwarder m_answer;
    CrashControlHandle m_crashes;
    Core::TimePoint m_nextMoveCheck{}; ///< Earliest time of the next check whether to move the stream.
    std::chrono::milliseconds m_firstPartAfter{-1}; ///< Time from arrival to the first part of an answer; negative before.
    PartTimes m_partTimes;
    bool m_wasPaused = false; ///< Whether reading the answer has paused for the caller, so that its pauses say nothing of the backend server.
    std::optional<std::chrono::milliseconds> m_sendDelay; ///< Time until a limited or resting backend server takes a request, if none could be chosen.
    bool m_wasPassedOn = false; ///< Whether it had reached a backend server when a call was given up.
    bool m_isDone = false;
};

} // namespace Verbena::Relay
