#pragma once

#include "messagecontext.h"
#include "socketmonitor.h"
#include "socketsecurity.h"
#include "zmqwatcher.h"

#include <core/result.h>

#include <verbena.pb.h>

#include <memory>
#include <string>

namespace Verbena::Wire {

/// \brief Interface that receives the messages and connection changes of a socket.
class MessageReceiver
{
public:
    virtual ~MessageReceiver() = default;

    /// \brief Receives a message from \a peer, which is empty on a connecting socket.
    virtual void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) = 0;

    /// \brief Handles data from \a peer that is not a valid envelope.
    virtual void receiveInvalidMessage(const std::string &peer) = 0;

    /// \brief Handles that a connection of the socket was established, lost or failed; \a address is for display only.
    ///
    /// A bound socket cannot tell which peer a lost connection belonged to: sending to that peer fails from then on.
    virtual void connectionChanged(ConnectionChange change, const std::string &address);
};

/// \brief A ZeroMQ socket on an event loop that sends and receives envelopes.
class MessageSocket
{
public:
    /// \brief Creates a socket that many peers can connect to. If \a security has keys, the context must have a PeerAuthenticator.
    ///
    /// Errors: Unavailable, if the endpoint cannot be bound; InvalidArgument, if a key is not valid.
    static Core::Result<std::unique_ptr<MessageSocket>> bind(
        EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver);

    /// \brief Creates a socket that connects to one peer and reconnects whenever the connection is lost.
    static Core::Result<std::unique_ptr<MessageSocket>> connect(
        EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver);

    ~MessageSocket();

    MessageSocket(const MessageSocket &) = delete;
    MessageSocket &operator=(const MessageSocket &) = delete;

    /// \brief Returns the endpoint in use, including a port chosen by the system.
    std::string endpoint() const;

    /// \brief Queues a message for sending.
    ///
    /// If there is an error, no byte of the message was sent: Unavailable, if there is no connection to the peer; ResourceExhausted, if
    /// the send queue is full because the peer does not read.
    Core::Result<void> send(const std::string &peer, const verbena::wire::Envelope &message);

private:
    MessageSocket(void *socket, MessageReceiver &receiver, bool isRouter, std::string endpoint);
    static Core::Result<std::unique_ptr<MessageSocket>> open(
        EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver, bool isRouter);
    bool receiveOne();

    void *m_socket;
    MessageReceiver &m_receiver;
    bool m_isRouter;
    std::string m_endpoint;
    std::unique_ptr<SocketMonitor> m_monitor;
    std::unique_ptr<ZmqWatcher> m_watcher;
};

} // namespace Verbena::Wire
