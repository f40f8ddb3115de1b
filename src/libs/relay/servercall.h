#pragma once

#include "answermeaning.h"
#include "backendcall.h"
#include "relaycontext.h"
#include "requestfacts.h"
#include "requestreport.h"

#include <decisions/relay/keptconnections.h>

#include <memory>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief How far a request has come when a call is made for it.
struct CallProgress
{
    bool isAnswerBegun = false; ///< Whether the caller has received a part of the answer.
    bool isSuspected = false; ///< Whether the request may crash backend servers.
    std::string lastEventId; ///< Id of the event after which the stream goes on; empty for one that begins.
};

/// \brief The current call of a request: the chosen backend server, the connection to it, and what the fleet learns from it.
class ServerCall
{
public:
    /// \brief \a facts outlive the call; \a observer is told of the outcome.
    ServerCall(const RelayContext &context, const RequestFacts &facts, CallObserver &observer);
    ~ServerCall();

    ServerCall(const ServerCall &) = delete;
    ServerCall &operator=(const ServerCall &) = delete;

    /// \brief Sends the request to the backend server of \a choice. Errors: those of BackendCall::create(), of which the fleet has then been told.
    Core::Result<void> open(const Decisions::FleetChoice &choice, const CallProgress &progress);

    /// \brief Sets the choice of a request that is not sent there.
    void setChoice(const Decisions::FleetChoice &choice);

    /// \brief Returns the last choice, or null before the first one.
    const Decisions::FleetChoice *choice() const;

    /// \brief Returns whether the call waits for its answer or the rest of it.
    bool isOpen() const;

    /// \brief Returns whether nothing of an answer has come, so that the call counts as load of its backend server.
    bool isUnanswered() const;

    /// \brief Returns whether the call is open and any byte of the request may have reached the backend server.
    bool hasSent() const;

    /// \brief Returns whether the whole answer has been received.
    bool isWhole() const;

    /// \brief Returns why the answer could not be read to its end; nothing if it was whole or the connection ended.
    std::optional<Http::MessageFault> answerFault() const;

    /// \brief Brings up to date what the kernel holds for the backend server.
    void updateKernelBytes();

    /// \brief Asks the kernel what it holds for the part of the answer that is not read.
    void updateUnreadBytes();

    /// \brief Returns the memory that is held of the answer beside its body.
    std::size_t answerHeadBytes() const;

    /// \brief Pauses or resumes reading the answer.
    void setReading(bool isReading);

    /// \brief Returns how the call would count if it were given up now.
    Decisions::CallFailure failureIfAbandoned() const;

    /// \brief Returns the start of the backend server to which the call was made.
    Decisions::ServerInstance server() const;

    /// \brief Returns the request and its backend server for log lines.
    RequestLabel label() const;

    /// \brief Returns what the call waits for, without the earlier calls of the request.
    WaitReport waitReport() const;

    /// \brief Returns whether nothing has come for a while from an engine that has fallen silent.
    bool isAtSilentEngine() const;

    /// \brief Returns whether the engine has been silent for so long that it counts as lost.
    bool isEngineLost() const;

    /// \brief Returns whether the engine waits to load weights.
    bool isEngineWaitingToLoad() const;

    /// \brief Returns when the call has to be called back because of newer weights; nothing if its engine may have begun it.
    std::optional<Core::TimePoint> callBackTime() const;

    /// \brief Records that anything of an answer has come.
    void recordActivity();

    /// \brief Returns what an answer with \a status and \a marks says of the request.
    AnswerMeaning meaningOf(int status, const AnswerMarks &marks, bool isAnswerBegun) const;

    /// \brief Records what the \a marks of an answer say of the backend server.
    void recordMarks(const AnswerMarks &marks);

    /// \brief Records what a refusal with \a marks says, which another backend server may have sent.
    void recordRefusal(const AnswerMarks &marks);

    /// \brief Records that the answer has \a marks, which may say that the connection serves no other call.
    void recordHead(const AnswerMarks &marks);

    /// \brief Records the first part of an answer; \a isSuccess is whether it shows how fast the backend server works.
    void recordFirstPart(bool isSuccess);

    /// \brief Records how long the call took or has taken.
    void recordRunTime();

    /// \brief Ends the call after its whole answer; its connection may serve others.
    void end();

    /// \brief Ends the call, which failed with \a failure.
    void fail(Decisions::CallFailure failure);

    /// \brief Ends the call without a failure of its backend server.
    void abandon();

    /// \brief Ends the call; if it is unanswered, it counts as load until the next call or the end of the request.
    void reset();

    /// \brief Closes the idle connections to its backend server.
    void dropConnections();

private:
    Core::Result<std::unique_ptr<BackendCall>> createCall(const CallProgress &progress);
    Decisions::KeptConnectionUse connectionUse(const CallProgress &progress) const;
    CallContext callContext(const CallProgress &progress) const;
    void updateWeights(const AnswerMarks &marks);
    int receiveBufferBytes() const;
    void updateReadBound();
    void updateSendBound();

    const RelayContext &m_context;
    const RequestFacts &m_facts;
    CallObserver &m_observer;
    std::optional<Decisions::FleetChoice> m_choice;
    std::unique_ptr<BackendCall> m_call;
    bool m_isConnectionKept = false; ///< Whether the connection may serve others afterwards.
    bool m_isUnanswered = false;
    Core::TimePoint m_lastActivityAt{}; ///< Time at which the call was made, or anything of its answer last came.
};

} // namespace Verbena::Relay
