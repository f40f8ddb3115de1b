#pragma once

#include <core/result.h>
#include <decisions/relay/attemptpolicy.h>
#include <eventloop/timer.h>
#include <http/bytemeter.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief Receives the outcome of a call to a backend server. Each function may destroy the call.
class CallObserver
{
public:
    virtual ~CallObserver() = default;

    /// \brief Handles the head of the final answer.
    virtual void receiveAnswerHead(const Http::MessageHead &head) = 0;

    /// \brief Handles the next bytes of the body.
    virtual void receiveAnswerBody(std::string_view data) = 0;

    /// \brief Handles the end of a complete answer.
    virtual void receiveAnswerEnd() = 0;

    /// \brief Handles a call that brings no complete answer: NotSent, Unacknowledged, or Lost if the request may have arrived.
    virtual void callFailed(Decisions::CallFailure failure, std::string_view reason) = 0;
};

/// \brief Properties of the request of a call.
struct CallOptions
{
    bool isHead = false; ///< Whether its method is HEAD, so that the answer has no body.
    bool isRepeatable = false; ///< Whether it may run again, so that the call fails with Unacknowledged where nothing acknowledges it.
    int receiveBytes = Http::receiveBufferBytes; ///< Room in the kernel for the part of its answer that is not read.
};

/// \brief One request to one backend server, on a connection that is used for nothing else meanwhile. The request is sent only once.
///
/// On a new connection, no bytes of an earlier answer can be taken for the answer to this request. On a kept one, an answer that does not name the request
/// proves nothing.
class BackendCall : private Http::ChannelObserver, private Http::MessageSink
{
public:
    /// \brief Time after which a backend server without a connection counts as unreachable: many times the round trip to any of them.
    ///
    /// Later the server is gone or a packet was lost, and TCP would resend that only after a second.
    static constexpr std::chrono::milliseconds connectTimeout{120};

    /// \brief Time after which a host that has acknowledged nothing of a request counts as stopped. TCP resends a lost packet within
    /// it, after 200 ms at least.
    static constexpr std::chrono::milliseconds acknowledgeTimeout{250};

    /// \brief Connects and sends \a request; fails with NotSent if there is no connection by \a connectDeadline. Errors: Unavailable if no connection can be
    /// started.
    static Core::Result<std::unique_ptr<BackendCall>> create(EventLoop::Loop &loop,
        const Http::Endpoint &endpoint,
        const Http::OutgoingMessage &request,
        const CallOptions &options,
        Core::TimePoint connectDeadline,
        CallObserver &observer);

    /// \brief Sends \a request on the idle \a channel; returns null if the backend server cannot have received any of it.
    ///
    /// The request may run again; the call fails with Unacknowledged if nothing of it has been acknowledged by \a acknowledgeDeadline.
    static std::unique_ptr<BackendCall> reuse(EventLoop::Loop &loop,
        std::unique_ptr<Http::TcpChannel> channel,
        const Http::OutgoingMessage &request,
        Core::TimePoint acknowledgeDeadline,
        CallObserver &observer);
    ~BackendCall() override;

    /// \brief Returns the number of open calls of this thread.
    static std::size_t openCount();

    BackendCall(const BackendCall &) = delete;
    BackendCall &operator=(const BackendCall &) = delete;

    /// \brief Returns whether any byte of the request may have reached the backend server.
    bool hasSent() const;

    /// \brief Returns whether the server's host has acknowledged nothing of the request.
    bool isUnacknowledged() const;

    /// \brief Returns whether the whole answer has been received, even if the observer has not been notified yet.
    bool isWhole() const;

    /// \brief Sets the meter that is told how many bytes of the request are not sent yet.
    void setMeter(std::unique_ptr<Http::ByteMeter> meter);

    /// \brief Sets the meter that is told how much memory the kernel holds for the request.
    void setKernelMeter(std::unique_ptr<Http::ByteMeter> meter);

    /// \brief Brings up to date what the kernel holds for the request.
    void updateKernelBytes();

    /// \brief Sets the meter that updateUnreadBytes() tells how much memory the kernel holds for the part of the answer that is not read.
    void setUnreadMeter(std::unique_ptr<Http::ByteMeter> meter);

    /// \brief Asks the kernel what it holds for the part of the answer that is not read.
    void updateUnreadBytes();

    /// \brief Lets the kernel hold no more than \a bytes of what is not sent yet.
    void setSendBound(std::size_t bytes);

    /// \brief Sets the meter that is told how many bytes of the answer are held beside its body.
    void setAnswerMeter(std::unique_ptr<Http::ByteMeter> meter);

    /// \brief Returns the memory that is held of the answer beside its body.
    std::size_t answerHeadBytes() const;

    /// \brief Returns why the answer could not be read to its end; nothing if it was whole or the connection ended.
    std::optional<Http::MessageFault> answerFault() const;

    /// \brief Returns whether the connection has served another call before.
    bool isReused() const;

    /// \brief Gives the connection away after the whole answer; returns null if it may not serve another call. Ends the use of this call.
    std::unique_ptr<Http::TcpChannel> releaseChannel();

    /// \brief Returns the time after which the backend server closes an idle connection, if its answer says so.
    std::optional<std::chrono::seconds> idleTimeout() const;

    /// \brief Reads no more than \a bytes of the answer at once.
    void setReadBound(std::size_t bytes);

    /// \brief Pauses or resumes reading the answer.
    void setReading(bool isReading);

private:
    BackendCall(EventLoop::Loop &loop, const CallOptions &options, CallObserver &observer);
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    bool isRestWanted() const override;
    void outputDrained() override;
    void receiveHead(Http::MessageHead head) override;
    void receiveBody(std::string_view data) override;
    void receiveEnd() override;
    void deliver(std::optional<Http::MessageFault> fault);
    void fail(std::string_view reason);
    void handleTimeout();

    EventLoop::Loop &m_loop;
    CallObserver &m_observer;
    Http::MessageReader m_reader;
    EventLoop::Timer m_timer; ///< Runs until there is a connection, and then until a request that may run again should have been acknowledged.
    std::unique_ptr<Http::TcpChannel> m_channel;
    std::unique_ptr<Http::ByteMeter> m_answerMeter; ///< Null if nothing counts what is held of the answer.
    std::optional<Http::MessageFault> m_fault;
    bool m_isRepeatable;
    bool m_isReused = false;
    std::size_t m_requestBytes = 0; ///< Size of the request.
    bool m_isRequestSent = false; ///< Whether the kernel has accepted the whole request.

    // Parsed from the last bytes and delivered to the observer after the reader has returned, as the observer may destroy this call.
    std::optional<Http::MessageHead> m_head;
    std::string m_body;
    bool m_isWhole = false;
    bool m_isKeptAlive = false; ///< Whether the answer lets the connection serve further calls.
    std::optional<std::chrono::seconds> m_idleTimeout;
    bool *m_isDestroyed = nullptr; ///< Set to true by the destructor; not null while the observer is being notified.
};

} // namespace Verbena::Relay
