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

/// \brief A UDP socket that carries envelopes which may be lost: news that the next ones replace.
class DatagramSocket
{
public:
    /// \brief Called with each envelope and the address to answer to. What is no envelope is dropped.
    using Receiver = std::function<void(const sockaddr_in &from, const verbena::wire::Envelope &message)>;

    /// \brief Listens at \a address. Errors: Unavailable, if it cannot be had.
    static Core::Result<std::unique_ptr<DatagramSocket>> bind(EventLoop::Loop &loop, const sockaddr_in &address, Receiver receiver);
    ~DatagramSocket();

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// \brief Sends \a message once; nobody learns whether it arrives. Returns whether the kernel took it.
    bool send(const sockaddr_in &to, const verbena::wire::Envelope &message);

private:
    DatagramSocket(EventLoop::Loop &loop, int descriptor, Receiver receiver);
    void receiveAll();

    int m_descriptor;
    Receiver m_receiver;
    std::unique_ptr<EventLoop::IoWatcher> m_watcher;
};

} // namespace Verbena::Wire
