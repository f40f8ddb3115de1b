#pragma once

#include "answerdelivery.h"
#include "answerencoder.h"
#include "callerclose.h"
#include "connectionowner.h"
#include "continueexpectation.h"
#include "droppedbytes.h"
#include "halfclosewatch.h"
#include "relayedrequest.h"
#include "requestmemory.h"
#include "requestreader.h"

#include <decisions/relay/relayconfiguration.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>
#include <http/tcpchannel.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief A caller's connection: strictly reads one request at a time and writes its answer.
///
/// Bytes that arrive before the answer has been sent are never parsed as a request, because they may come from request smuggling. The answer is still
/// sent, and the connection is closed after it.
///
/// A caller that ends its sending side gets the answer to its request unless it is found to have left (HalfCloseWatch).
class CallerConnection : public AnswerSink, private Http::ChannelObserver, private HalfClosedConnection
{
public:
    CallerConnection(EventLoop::Loop &loop, int descriptor, ConnectionOwner &owner);
    ~CallerConnection() override;

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// \brief Returns whether a request is being read or answered, or an answer has not been sent completely.
    bool isBusy() const;

    /// \brief Returns when the connection was opened or its last answer ended.
    Core::TimePoint idleSince() const;

    /// \brief Returns the number of bytes that the caller has not read.
    std::size_t unsentBytes() const;

    /// \brief Returns whether the caller's host has not taken all that was written for it, as far as is known.
    bool hasUntakenBytes() const;

    /// \brief Returns the memory that is freed when the connection is cut off.
    std::size_t heldBytes() const;

    /// \brief Returns when the caller last read something of its answers, or when the first unsent bytes were written.
    Core::TimePoint lastReadAt() const;

    /// \brief Brings up to date what the kernel holds for the caller, and for the backend server of its request.
    void updateKernelBytes();

    /// \brief Asks the kernel what it holds of what the caller and the backend server of its request have sent.
    void updateUnreadBytes();

    /// \brief Returns whether a request is being handled, or bytes of the caller were unread at the last updateUnreadBytes().
    bool mayHaveUnreadBytes() const;

    /// \brief Brings lastReadAt() up to date; to be called several times per second while memory is short.
    void updateLastRead();

    /// \brief Resets the connection for want of memory, so that the caller can tell that its answer is incomplete, and ends it.
    void cutOff();

    /// \brief Lets the caller tell, when the connection is destroyed, that an answer which has begun is incomplete.
    void markIncomplete();

    /// \brief Returns whether no request is being read or answered, and a new caller has had time to send its request; without asking the system what has
    /// arrived.
    bool isIdleCandidate() const;

    /// \brief Closes the connection, as this router ends, if it is idle: isIdleCandidate(), the last answer has been read, and nothing has arrived. Returns
    /// whether it was closed.
    bool endIfIdle();

    /// \brief Returns whether the last answer has ended, and its caller had not read it whole when it was last looked at.
    bool isDelivering() const;

    /// \brief Returns whether the connection may be closed for want of descriptors: it is idle, or only the system holds the end of its last answer.
    bool mayMakeRoom() const;

    /// \brief Closes the connection if mayMakeRoom() and nothing has arrived. Returns whether it was closed.
    bool makeRoom();

    /// \brief Refuses the caller's next request, which has not run, and ends the connection after it.
    void refuseNextRequest();

    /// \brief Refuses a request that is still being read, as the process is about to end.
    void refuseUnread();

    /// \brief Ends a request that has no complete answer, as the process ends.
    void giveUp();

    /// \brief Returns what is due on the connection, which is about to be closed for \a reason.
    CallerCloseReport closeReport(CloseReason reason) const;

    /// \brief Returns the request that is being handled; null if there is none. It lives until the loop's next iteration at least.
    RelayedRequest *request() const;

    void respond(int status, const std::vector<Http::HttpField> &fields, std::string_view body) override;
    void beginAnswer(int status, const std::vector<Http::HttpField> &fields, std::optional<std::uint64_t> length) override;
    void write(std::string_view data) override;
    void endAnswer() override;
    void abortAnswer() override;
    void setPendingBytes(std::size_t bytes) override;
    std::size_t bufferBound() const override;
    std::uint64_t eventBound() const override;
    bool isFull() const override;

private:
    enum class State {
        Reading, ///< Waiting for a request or reading one.
        Answering, ///< A request is being handled.
        Lingering, ///< The last answer has been sent; input is discarded until the caller closes the connection.
    };

    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void outputSent() override;
    void outputDrained() override;
    std::optional<Decisions::HalfClosedRequest> waitingRequest() const override;
    bool isReset() const override;
    void writeProbe() override;
    void closeForLeftCaller(CloseReason reason) override;
    void handleHalfClose();
    CloseReason closeReasonAtEnd() const;
    CloseReason timeoutReason() const;
    OpenExchange openExchange() const;
    bool hasWaitingRequest() const;
    bool isUndelivered() const;
    bool endIfNothingArrived(CloseReason reason);
    void answerRequest();
    void drop(std::size_t bytes);
    bool mayTakeNoMore() const;
    void refuse(Http::MessageFault fault);
    void refuse(const Refusal &refusal, const Http::MessageHead &head = {});
    bool reserveOrWait();
    RequestExtent extent() const;
    void awaitMemory();
    void readOn();
    void resumeReading();
    void refuseForMemory();
    void send(std::string_view data);
    void sendBody(std::string_view data);
    void updateClosing();
    AnswerHead answerHead(int status, const std::vector<Http::HttpField> &fields) const;
    bool answerExpectation();
    void finishExchange();
    void awaitDelivery();
    void awaitCaller();
    void linger();
    void handleTimeout();

    EventLoop::Loop &m_loop;
    ConnectionOwner &m_owner;
    RequestMemory m_memory; ///< Of the request that is being read or answered.
    Decisions::HeldBytes m_pendingBytes; ///< Of its answer.
    std::unique_ptr<Http::TcpChannel> m_channel;
    RequestReader m_reader;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_finish;
    State m_state = State::Reading;
    std::unique_ptr<RelayedRequest> m_request;
    AnswerEncoder m_encoder; ///< Of the last answer.
    HalfCloseWatch m_halfClose;
    DroppedBytes m_dropped;
    ContinueExpectation m_expectation; ///< Of the request that is being read.
    AnswerDelivery m_delivery;
    Decisions::RelayLimits m_answerLimits; ///< Those under which the last answer began; their idle timeout is announced in it.
    Core::TimePoint m_requestBegin; ///< When the first byte of the request came that is being read or answered.
    Core::TimePoint m_idleSince;
    Core::TimePoint m_idleDeadline; ///< Until then an idle connection is kept.
    Core::TimePoint m_firstRequestDeadline; ///< Until then, a new caller whose request is on its way is not idle.
    bool m_isTimeoutPostponed = false; ///< Whether the time limit has passed and was postponed once to read what had arrived.
    bool m_isOverDescriptorLimit = false; ///< Whether the caller's request is refused for lack of descriptors.
    bool m_isClosing = false; ///< Whether the connection is closed after the current answer.
    bool m_isAnswerEnded = false;
    bool m_isAborted = false; ///< Whether the answer ends as incomplete.
};

} // namespace Verbena::Relay
