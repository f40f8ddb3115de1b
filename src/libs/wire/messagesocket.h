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

/// \brief Takes the messages of a socket.
class MessageReceiver
{
public:
    virtual ~MessageReceiver() = default;

    /// \brief A message has come from \a peer, which is empty on a socket that connects.
    virtual void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) = 0;

    /// \brief Something came from \a peer that is no message of ours.
    virtual void receiveGarbage(const std::string &peer) = 0;

    /// \brief A connection of the socket came up, was lost or failed; \a address is for people.
    ///
    /// A socket that is bound does not know which peer a lost connection belonged to: a send to that peer fails from then on.
    virtual void connectionChanged(ConnectionChange change, const std::string &address);
};

/// \brief One ZeroMQ socket on an event loop that carries envelopes.
class MessageSocket
{
public:
    /// \brief A socket that many peers connect to. With keys, the context must have a PeerAuthenticator.
    ///
    /// Errors: Unavailable, if the endpoint cannot be bound; InvalidArgument, if a key is not valid.
    static Core::Result<std::unique_ptr<MessageSocket>> bind(
        EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver);

    /// \brief A socket that connects to one peer, and again whenever the connection is lost.
    static Core::Result<std::unique_ptr<MessageSocket>> connect(
        EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver);

    ~MessageSocket();

    MessageSocket(const MessageSocket &) = delete;
    MessageSocket &operator=(const MessageSocket &) = delete;

    /// \brief The endpoint in use, with the port that the system chose.
    std::string endpoint() const;

    /// \brief Hands a message to the socket.
    ///
    /// Errors, after which no byte of it was sent: Unavailable, if there is no connection to the peer; ResourceExhausted, if
    /// the peer does not take what was sent before.
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
