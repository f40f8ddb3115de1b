#pragma once

#include <core/result.h>
#include <decisions/relay/attemptpolicy.h>
#include <eventloop/timer.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief What comes of a call to a backend server. Each function may destroy the call.
class CallObserver
{
public:
    virtual ~CallObserver() = default;
    virtual void receiveAnswerHead(const Http::MessageHead &head) = 0;
    virtual void receiveAnswerBody(std::string_view data) = 0;

    /// \brief The answer is whole.
    virtual void receiveAnswerEnd() = 0;

    /// \brief No whole answer will come: NotSent, or Lost if the request may have arrived.
    virtual void callFailed(Decisions::CallFailure failure, std::string_view reason) = 0;
};

/// \brief One request to one backend server, on a connection of its own that ends with it.
///
/// Nothing that an earlier request left behind can come up on a new connection, and a request is sent once only.
class BackendCall : private Http::ChannelObserver, private Http::MessageSink
{
public:
    /// \brief Sends \a request, head and body; without a connection by \a connectDeadline it is given up unsent.
    ///
    /// \a isHead: the answer has no body. Errors: Unavailable, if no connection can be begun.
    static Core::Result<std::unique_ptr<BackendCall>> create(
        EventLoop::Loop &loop, const Http::Endpoint &endpoint, std::string_view request, bool isHead, Core::TimePoint connectDeadline, CallObserver &observer);
    ~BackendCall() override;

    BackendCall(const BackendCall &) = delete;
    BackendCall &operator=(const BackendCall &) = delete;

    /// \brief Whether any byte of the request may have reached the backend server.
    bool hasSent() const;

    /// \brief Whether all of the answer has come, though the observer may not have been told yet.
    bool isWhole() const;

    /// \brief Pauses or resumes reading the answer.
    void setReading(bool isReading);

private:
    BackendCall(EventLoop::Loop &loop, bool isHead, CallObserver &observer);
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void outputDrained() override;
    void receiveHead(Http::MessageHead head) override;
    void receiveBody(std::string_view data) override;
    void receiveEnd() override;
    std::optional<Http::MessageFault> readOn(std::string_view data);
    void deliver(std::optional<Http::MessageFault> fault);
    void fail(std::string_view reason);

    CallObserver &m_observer;
    Http::MessageReader m_reader;
    EventLoop::Timer m_connectTimer;
    std::unique_ptr<Http::TcpChannel> m_channel;

    // What the last bytes brought; told once the reader has let go of them.
    std::optional<Http::MessageHead> m_head;
    std::string m_body;
    bool m_isInterim = false; ///< The head that came last announces another one.
    bool m_isWhole = false;
    bool *m_isDestroyed = nullptr; ///< Set while the observer is told.
};

} // namespace Verbena::Relay
