#pragma once

#include "answersink.h"
#include "backendcall.h"
#include "crashcontrolhandle.h"
#include "relayprotocol.h"
#include "resendqueue.h"
#include "usagereservation.h"

#include <decisions/relay/attemptpolicy.h>
#include <decisions/relay/relaydirectory.h>
#include <decisions/relay/relayfleet.h>
#include <decisions/relay/requestidentity.h>
#include <decisions/relay/resendbudget.h>
#include <decisions/spread/randomsource.h>
#include <eventloop/timer.h>
#include <http/eventcutter.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Observe {
class Metrics;
}

namespace Verbena::Relay {

/// \brief What all requests of one relay share.
struct RelayContext
{
    EventLoop::Loop &loop;
    const RelayProtocol &protocol;
    Decisions::RelayFleet &fleet;
    Decisions::ResendBudget &budget;
    ResendQueue &resendQueue;
    Decisions::RandomSource &random;
    Observe::Metrics &metrics;
    std::function<std::optional<std::chrono::milliseconds>()> configurationAge = {}; ///< Empty where nothing tells it.
    UsageControl *usage = nullptr; ///< Nothing while no caps are kept.
    CrashControl *crashes = nullptr; ///< Nothing while nobody follows crashes.
};

/// \brief Carries one request to a backend server and the answer back; destroying it ends all work for it.
class RelayedRequest : private CallObserver
{
public:
    /// \brief \a directory is the configuration that the request is handled by; nothing if none is known yet.
    RelayedRequest(
        const RelayContext &context, std::shared_ptr<const Decisions::RelayDirectory> directory, Http::MessageHead head, std::string body, AnswerSink &sink);
    ~RelayedRequest() override;

    RelayedRequest(const RelayedRequest &) = delete;
    RelayedRequest &operator=(const RelayedRequest &) = delete;

    /// \brief Begins; the answer may be given before this returns.
    void start();

    /// \brief The caller has taken all that was written.
    void outputDrained();

    /// \brief New weights were named: what has not begun may have to be called back at another moment.
    void updateCallBackTimer();

private:
    /// When a refused caller should come back, if nothing better is known: new work is taken again within a few hundred milliseconds of nearly every
    /// trouble.
    static constexpr std::chrono::milliseconds defaultRetryDelay{250};

    enum class AnswerState {
        Nothing, ///< No part of an answer has been kept.
        Buffering, ///< An answer is kept back until it is whole.
        Forwarding, ///< The answer goes on as it comes.
    };

    bool admit();
    void claimUsage();
    std::uint32_t arrivals() const;
    bool mayHaveRun() const;
    std::string organisationName() const;
    void begin();
    void dispatch();
    Decisions::FleetQuery fleetQuery();
    void moveOffWaitingEngine();
    bool sendTo(const Decisions::FleetChoice &choice);
    CallContext callContext(const Decisions::FleetChoice &choice) const;
    void receiveAnswerHead(const Http::MessageHead &head) override;
    void receiveAnswerBody(std::string_view data) override;
    void receiveAnswerEnd() override;
    void callFailed(Decisions::CallFailure failure, std::string_view reason) override;
    void handleFailure(Decisions::CallFailure failure, std::string_view reason);
    void closeCall(Decisions::CallFailure failure);
    void decide(Decisions::CallFailure failure, std::string_view reason);
    bool mayBeSentAgainInTime(Decisions::CallFailure failure) const;
    void proceed(Decisions::CallFailure failure, Decisions::AttemptAction action);
    void awaitTrial(Decisions::CallFailure failure);
    void recordBarred(const char *outcome);
    void handleNotRun(const AnswerMarks &marks);
    void forwardBody(std::string_view data);
    void beginForwarding();
    Decisions::AttemptAction chooseAction(Decisions::CallFailure failure);
    bool awaitResend(Decisions::CallFailure failure);
    void sendAgain();
    Decisions::ResendPurpose resendPurpose() const;
    void finish(Decisions::AttemptAction action);
    void refuse(int status, std::string_view message, std::chrono::milliseconds retryAfter = defaultRetryDelay);
    bool refuseIfOverloaded(const Decisions::FleetChoice &choice);
    void handleDeadline();
    std::optional<Core::TimePoint> callBackTime() const;
    void handleWeightsTooOld();
    void handleFirstPart();
    void logOutcome(int status, std::string_view outcome);
    std::chrono::milliseconds sinceArrival() const;
    std::chrono::microseconds remainingTime() const;

    const RelayContext &m_context;
    std::shared_ptr<const Decisions::RelayDirectory> m_directory;
    Http::MessageHead m_head;
    std::string m_body;
    AnswerSink &m_sink;
    Core::TimePoint m_arrival;
    Core::TimePoint m_deadline; ///< Of the final answer.
    EventLoop::Timer m_deadlineTimer;
    EventLoop::Timer m_weightsTimer; ///< Runs while the present call has not begun on weights that are not the newest.
    RelayQuery m_query;
    const Decisions::RelayRoute *m_route = nullptr;
    const Decisions::RelayOrganisation *m_organisation = nullptr;
    std::string m_service;
    Decisions::AttemptState m_attempts;
    std::uint32_t m_arrivals = 0; ///< Calls that reached a backend server, whatever it did with them.
    std::uint64_t m_resendNumber = 0; ///< While this waits to be sent again.
    std::vector<std::string> m_excluded;
    std::optional<Decisions::FleetChoice> m_choice; ///< Of the present call.
    std::unique_ptr<BackendCall> m_call;
    UsageReservation m_usage;
    CrashControlHandle m_crashes;
    bool m_isUnanswered = false; ///< The present call counts as load at its backend server.
    AnswerState m_answerState = AnswerState::Nothing;
    Http::MessageHead m_answerHead;
    std::string m_bufferedBody;
    bool m_isServerError = false;
    Http::EventCutter m_cutter;
    Core::TimePoint m_nextMoveCheck{}; ///< When moving the stream may be thought of again.
    std::chrono::milliseconds m_firstPartAfter{-1};
    bool m_isDone = false;
};

} // namespace Verbena::Relay
