#pragma once

#include <core/result.h>

#include <verbena.pb.h>

#include <functional>
#include <memory>
#include <string>

#include <netinet/in.h>

namespace Verbena::EventLoop {
class IoWatcher;
class Loop;
} // namespace Verbena::EventLoop

namespace Verbena::Wire {

/// \brief A UDP socket for envelopes that may be lost because later ones replace them.
class DatagramSocket
{
public:
    /// \brief Function that is called with each envelope and the address of its sender. Invalid datagrams are discarded.
    using Receiver = std::function<void(const sockaddr_in &from, const verbena::wire::Envelope &message)>;

    /// \brief Creates a socket that receives at \a address. Errors: Unavailable, if the address cannot be bound.
    static Core::Result<std::unique_ptr<DatagramSocket>> bind(EventLoop::Loop &loop, const sockaddr_in &address, Receiver receiver);
    ~DatagramSocket();

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// \brief Sends \a message once, without acknowledgement. Returns whether the kernel accepted it.
    bool send(const sockaddr_in &to, const verbena::wire::Envelope &message);

private:
    DatagramSocket(EventLoop::Loop &loop, int descriptor, Receiver receiver);
    void receiveAll();

    EventLoop::Loop &m_loop;
    int m_descriptor;
    Receiver m_receiver;
    std::unique_ptr<EventLoop::IoWatcher> m_watcher;
};

} // namespace Verbena::Wire
