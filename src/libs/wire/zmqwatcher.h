#pragma once

#include <eventloop/deferredcall.h>
#include <eventloop/iowatcher.h>

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Wire {

/// \brief Takes the input of a ZeroMQ socket, which it does not own, on an event loop.
class ZmqWatcher
{
public:
    /// \brief Calls \a receiveOne, which returns false once there is nothing left, whenever there may be input.
    ZmqWatcher(EventLoop::Loop &loop, void *socket, std::function<bool()> receiveOne);

    /// \brief Looks for input before the loop blocks next; needed after every send.
    void schedule();

private:
    void receiveAll();

    std::function<bool()> m_receiveOne;
    EventLoop::DeferredCall m_receive;
    EventLoop::IoWatcher m_watcher;
};

/// \brief The parts of the next message of \a socket; none if there is no message.
std::vector<std::string> receiveParts(void *socket);

} // namespace Verbena::Wire
