#pragma once

#include "socketsecurity.h"

#include <core/result.h>
#include <eventloop/deferredcall.h>
#include <eventloop/iowatcher.h>

#include <verbena.pb.h>

#include <memory>
#include <string>

namespace Verbena::Wire {

/// \brief Owns ZeroMQ's context; one per process.
class MessageContext
{
public:
    MessageContext();
    ~MessageContext();

    MessageContext(const MessageContext &) = delete;
    MessageContext &operator=(const MessageContext &) = delete;

    void *handle() const;

private:
    void *m_handle;
};

/// \brief Takes the messages of a socket.
class MessageReceiver
{
public:
    virtual ~MessageReceiver() = default;

    /// \brief A message has come from \a peer, which is empty on a socket that connects.
    virtual void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) = 0;

    /// \brief Something came from \a peer that is no message of ours.
    virtual void receiveGarbage(const std::string &peer) = 0;
};

/// \brief One ZeroMQ socket on an event loop that carries envelopes.
class MessageSocket
{
public:
    /// \brief A socket that many peers connect to. Errors: Unavailable, if the endpoint cannot be bound.
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
    /// Errors: Unavailable, if there is no connection to the peer; then no byte of it was sent.
    Core::Result<void> send(const std::string &peer, const verbena::wire::Envelope &message);

private:
    MessageSocket(EventLoop::Loop &loop, void *socket, MessageReceiver &receiver, bool isRouter, std::string endpoint);
    static Core::Result<std::unique_ptr<MessageSocket>> open(
        EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver, bool isRouter);
    void receiveAll();
    bool receiveOne();

    void *m_socket;
    MessageReceiver &m_receiver;
    bool m_isRouter;
    std::string m_endpoint;
    std::unique_ptr<EventLoop::IoWatcher> m_watcher;
    EventLoop::DeferredCall m_receive;
};

} // namespace Verbena::Wire
