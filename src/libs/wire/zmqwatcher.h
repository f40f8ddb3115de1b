#pragma once

#include <eventloop/deferredcall.h>
#include <eventloop/iowatcher.h>

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Wire {

/// \brief Watcher that processes the input of a ZeroMQ socket on an event loop. It does not own the socket.
class ZmqWatcher
{
public:
    /// \brief Creates a watcher that calls \a receiveOne whenever there may be input, until it returns false because no message is left.
    ZmqWatcher(EventLoop::Loop &loop, void *socket, std::function<bool()> receiveOne);

    /// \brief Schedules a check for input before the loop blocks next; must be called after each send.
    void schedule();

private:
    void receiveAll();

    std::function<bool()> m_receiveOne;
    EventLoop::DeferredCall m_receive;
    EventLoop::IoWatcher m_watcher;
};

/// \brief Returns the parts of the next message of \a socket, or an empty list if there is no message.
std::vector<std::string> receiveParts(void *socket);

} // namespace Verbena::Wire
