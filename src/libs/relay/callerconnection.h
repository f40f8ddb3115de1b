#pragma once

#include "relayedrequest.h"

#include <decisions/relay/relayconfiguration.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>

#include <memory>
#include <string>

namespace Verbena::Relay {

class CallerConnection;

/// \brief What a connection asks of the task that owns it.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;

    /// \brief Begins the work for a whole request; its answer goes to \a sink.
    virtual std::unique_ptr<RelayedRequest> beginRequest(Http::MessageHead head, std::string body, AnswerSink &sink) = 0;

    /// \brief What this caller may send.
    virtual Decisions::RelayLimits limits() const = 0;

    /// \brief Whether connections should end with their present answer.
    virtual bool isDraining() const = 0;

    /// \brief The answer to a request that cannot be read.
    virtual std::vector<Http::HttpField> refusalFields(const Refusal &refusal) const = 0;

    /// \brief The connection is over; destroys it.
    virtual void connectionEnded(CallerConnection *connection) = 0;
};

/// \brief One caller's connection: reads one request at a time, strictly, and writes its answer.
///
/// Bytes that come before the answer is out are never read as a request: they may have been smuggled in by somebody else. The answer is still given, and
/// the connection ends with it.
class CallerConnection : public AnswerSink, private Http::ChannelObserver, private Http::MessageSink
{
public:
    CallerConnection(EventLoop::Loop &loop, int descriptor, ConnectionOwner &owner);
    ~CallerConnection() override;

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// \brief Whether a request is being read or answered.
    bool isBusy() const;

    /// \brief Ends the connection if it is idle.
    void endIfIdle();

    /// \brief New weights were named.
    void handleNewWeights();

    void respond(int status, const std::vector<Http::HttpField> &fields, std::string_view body) override;
    void beginAnswer(int status, const std::vector<Http::HttpField> &fields, std::optional<std::uint64_t> length) override;
    void write(std::string_view data) override;
    void endAnswer() override;
    void abortAnswer() override;
    std::size_t bufferedBytes() const override;

private:
    enum class State {
        Reading, ///< Waits for a request or reads one.
        Answering,
        Lingering, ///< All is said; what still comes is thrown away until the caller closes.
    };

    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void outputDrained() override;
    void receiveHead(Http::MessageHead head) override;
    void receiveBody(std::string_view data) override;
    void receiveEnd() override;
    void answerRequest();
    void refuse(Http::MessageFault fault);
    void refuse(const Refusal &refusal);
    std::string headText(int status, const std::vector<Http::HttpField> &fields) const;
    void finishExchange();
    void linger();
    void handleTimeout();

    EventLoop::Loop &m_loop;
    ConnectionOwner &m_owner;
    std::unique_ptr<Http::TcpChannel> m_channel;
    Http::MessageReader m_reader;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_finish;
    State m_state = State::Reading;
    Http::MessageHead m_head;
    std::string m_body;
    std::unique_ptr<RelayedRequest> m_request;
    bool m_isClosing = false; ///< The connection ends with the present answer.
    bool m_isAnswerEnded = false;
    bool m_isChunked = false;
    bool m_isVersion11 = true;
    bool m_isHead = false;
};

} // namespace Verbena::Relay
