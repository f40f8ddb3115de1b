#pragma once

#include "answersink.h"
#include "relayprotocol.h"

#include <decisions/relay/relayconfiguration.h>
#include <http/sseeventscanner.h>
#include <http/ssesplitter.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief How the end of an answer's body is known.
enum class BodyFraming {
    None, ///< No answer was received, or it has no body.
    Length, ///< Its length is stated.
    Chunks, ///< A last chunk ends it.
    Close, ///< The end of the connection ends it.
};

/// \brief Returns the stable name of \a framing for logs.
std::string_view bodyFramingName(BodyFraming framing);

/// \brief Where the received bytes of an answer end.
struct AnswerEnding
{
    BodyFraming framing = BodyFraming::None;
    bool isInsideEvent = false; ///< Whether the bytes of a stream end inside an event.
    bool hasEvent = false; ///< Whether a whole event of a stream was received.
};

/// \brief Forwards the answer of a backend server to the caller.
///
/// Small answers are buffered until they are complete, so that the request can be sent again if one breaks off. Larger ones and streams are forwarded as they
/// arrive; a resumable stream may be continued by the answer of another backend server.
class AnswerForwarder
{
public:
    AnswerForwarder(const RelayProtocol &protocol, AnswerSink &sink);

    /// \brief Sets the route of the request, which decides how its answer is forwarded.
    void setRoute(const Decisions::RelayRoute &route);

    /// \brief Handles the head of the answer to a call.
    void receiveHead(const Http::MessageHead &head);

    /// \brief Handles the next bytes of the body. Returns whether they belong to an answer that is being forwarded.
    bool receiveBody(std::string_view data);

    /// \brief Returns whether the whole answer is buffered and none of it was forwarded.
    bool isBuffered() const;

    /// \brief Sends the buffered answer.
    void sendBuffered();

    /// \brief Keeps the buffered answer, a failure of the backend server, until another one is kept.
    void keepError();

    /// \brief Sends the kept answer.
    void sendError();

    /// \brief Ends an answer that is being forwarded as complete.
    void end();

    /// \brief Ends an answer that is being forwarded so that the caller can tell that it is incomplete.
    void abort();

    /// \brief Discards what was received of the current call and not forwarded, before another call.
    void prepareNextCall();

    /// \brief Returns whether the caller has received a part of an answer.
    bool isBegun() const;

    /// \brief Returns whether that part, if there is one, is of a stream, which another backend server may continue.
    bool isContinuable() const;

    /// \brief Returns whether the current answer is a failure of the backend server.
    bool isServerError() const;

    /// \brief Returns where the answer to the current call ends so far.
    AnswerEnding ending() const;

    /// \brief Returns the stable name of the bound that the body of the current call's answer exceeds, so that what follows may have no end; nothing if it
    /// exceeds none.
    std::optional<std::string_view> exceededBoundName() const;

    /// \brief Returns whether an incomplete event of the current call's answer is longer than memory allows for.
    bool isEventBeyondMemory() const;

    /// \brief Returns the memory that is held of the current call's answer until more of it has come.
    std::size_t heldBytes() const;

    /// \brief Returns whether the current call's answer is a stream that has brought a whole event.
    bool hasEvent() const;

    /// \brief Returns whether the answer to the current call, whose connection was closed regularly, is known to be incomplete.
    bool isBrokenOff() const;

    /// \brief Returns the status of the first answer that the caller received a part of, or else of the last one; 0 before any.
    int status() const;

    /// \brief Returns the id of the last event that was forwarded, if it has one.
    std::optional<std::uint64_t> lastEventId() const;

private:
    enum class State {
        None, ///< No part of an answer has been received.
        Buffering, ///< The answer is buffered until it is complete.
        Forwarding, ///< The answer is forwarded as it arrives.
    };

    // A whole answer that is not forwarded yet.
    struct WholeAnswer
    {
        Http::MessageHead head;
        std::string body;
    };

    bool isEventStream() const;
    bool isSplit() const;
    bool isInsideEvent() const;
    void forward(std::string_view data);
    void begin();
    void updatePendingBytes();

    const RelayProtocol &m_protocol;
    AnswerSink &m_sink;
    bool m_isStream = false; ///< Whether the route's answers are streams.
    bool m_isResumable = false; ///< Whether another backend server may continue the stream.
    State m_state = State::None;
    bool m_isBegun = false;
    bool m_isServerError = false;
    BodyFraming m_framing = BodyFraming::None; ///< Of the current call's answer.
    Http::MessageHead m_head; ///< Head of the first answer that the caller received a part of, or else of the current call's.
    std::string m_buffer;
    std::optional<WholeAnswer> m_error; ///< Of a backend server that failed; sent if no other one answers.
    std::uint64_t m_bodyBytes = 0; ///< Received bytes of the current call's body.
    Http::SseEventScanner m_scanner; ///< Follows the events of the current call on a route without m_splitter.
    Http::SseSplitter m_splitter; ///< Splits resumable streams.
};

} // namespace Verbena::Relay
