#pragma once

#include "zmqwatcher.h"

#include <core/result.h>

#include <functional>
#include <memory>
#include <string>

namespace Verbena::Wire {

class MessageContext;

/// \brief A change of the state of a connection.
enum class ConnectionChange {
    Ready, ///< The connection is established and the handshake is complete.
    Lost, ///< The connection was closed by the peer, by the network or after missing heartbeats.
    Failed, ///< The handshake failed, for instance because a key is wrong.
};

/// \brief Monitor that reports the connection changes of a ZeroMQ socket.
class SocketMonitor
{
public:
    using Callback = std::function<void(ConnectionChange change, const std::string &address)>;

    /// \brief Starts monitoring \a socket. Errors: Internal.
    static Core::Result<std::unique_ptr<SocketMonitor>> create(EventLoop::Loop &loop, MessageContext &context, void *socket, Callback callback);
    ~SocketMonitor();

    SocketMonitor(const SocketMonitor &) = delete;
    SocketMonitor &operator=(const SocketMonitor &) = delete;

private:
    SocketMonitor(void *watched, void *socket, Callback callback);
    bool receiveOne();

    void *m_watched;
    void *m_socket;
    Callback m_callback;
    std::unique_ptr<ZmqWatcher> m_watcher;
};

} // namespace Verbena::Wire
