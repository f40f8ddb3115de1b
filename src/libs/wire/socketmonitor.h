#pragma once

#include "zmqwatcher.h"

#include <core/result.h>

#include <functional>
#include <memory>
#include <string>

namespace Verbena::Wire {

class MessageContext;

/// \brief What became of a connection.
enum class ConnectionChange {
    Ready, ///< Connected, with the handshake done.
    Lost, ///< Closed by the peer, by the network or because no heartbeat came.
    Failed, ///< The handshake failed, for instance because a key is wrong.
};

/// \brief Tells of the connections of a ZeroMQ socket that come and go.
class SocketMonitor
{
public:
    using Callback = std::function<void(ConnectionChange change, const std::string &address)>;

    /// \brief Watches \a socket from now on. Errors: Internal.
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
