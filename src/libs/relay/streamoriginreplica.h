#pragma once

#include <core/result.h>
#include <decisions/relay/streamorigins.h>
#include <wire/datagramsocket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief Keeps origins of streams that routers tell it by datagram, and answers their queries.
class StreamOriginReplica
{
public:
    /// \brief Receives the answers of other replicas to queries of this process.
    using AnswerReceiver = std::function<void(const std::string &replica, const verbena::wire::StreamOriginAnswer &answer)>;

    /// \brief Binds to \a address. Errors: Unavailable.
    static Core::Result<std::unique_ptr<StreamOriginReplica>> create(EventLoop::Loop &loop, const sockaddr_in &address);

    StreamOriginReplica(const StreamOriginReplica &) = delete;
    StreamOriginReplica &operator=(const StreamOriginReplica &) = delete;

    /// \brief Sets the function that receives answers of other replicas; without it, they are discarded.
    void setAnswerReceiver(AnswerReceiver receiver);

    /// \brief Sends \a message to the process at \a address.
    void send(const sockaddr_in &address, const verbena::wire::Envelope &message);

private:
    explicit StreamOriginReplica(EventLoop::Loop &loop);
    void receive(const sockaddr_in &from, const verbena::wire::Envelope &message);
    void record(const verbena::wire::StreamOrigin &told);
    void answer(const sockaddr_in &from, const verbena::wire::StreamOriginQuery &query);

    EventLoop::Loop &m_loop;
    Decisions::StreamOrigins m_origins;
    AnswerReceiver m_answerReceiver;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
};

} // namespace Verbena::Relay
