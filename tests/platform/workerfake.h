#pragma once

#include <eventloop/loop.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>
#include <http/tcplistener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief What a backend server does with one request.
struct WorkerScript
{
    enum class End {
        Keep, ///< Waits for the relay to close.
        Close,
        Reset,
    };

    std::string bytes; ///< Sent at once.
    End end = End::Keep;
};

/// \brief A backend server on the test's own loop that answers with whatever bytes a test wants.
class WorkerFake
{
public:
    using Answer = std::function<WorkerScript(const Http::MessageHead &head, const std::string &body)>;

    WorkerFake(EventLoop::Loop &loop, Answer answer, const std::string &address = "127.0.0.1:0");
    ~WorkerFake();

    std::string address() const;

    /// \brief Heads of all requests that came whole, in order.
    const std::vector<Http::MessageHead> &heads() const;
    const std::vector<std::string> &bodies() const;

    /// \brief Connections that the relay has not closed.
    std::size_t openCount() const;

    /// \brief Bytes of answers that the kernel has not taken yet, for instance as the relay does not read them.
    std::size_t waitingBytes() const;

    /// \brief Sends more on the connection of the last request.
    void sendMore(const std::string &bytes);

private:
    class Connection;

    EventLoop::Loop &m_loop;
    Answer m_answer;
    std::vector<Http::MessageHead> m_heads;
    std::vector<std::string> m_bodies;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    Connection *m_last = nullptr;
    std::unique_ptr<Http::TcpListener> m_listener;
};

/// \brief A caller's connection on the test's own loop, without any HTTP library in between.
class CallerFake : private Http::ChannelObserver
{
public:
    CallerFake(EventLoop::Loop &loop, const Http::Endpoint &endpoint);

    /// \brief A caller that leaves unread what comes, and for which the system holds little.
    static std::unique_ptr<CallerFake> createSlow(EventLoop::Loop &loop, const Http::Endpoint &endpoint);

    void send(const std::string &bytes);
    void hangUp();

    /// \brief Reads on, if the caller is a slow one.
    void read();

    /// \brief All that has come.
    const std::string &received() const;
    bool isClosed() const;

private:
    CallerFake(EventLoop::Loop &loop, int slowSocket);

    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;

    int m_slowSocket = -1; ///< Owned by the channel.
    std::unique_ptr<Http::TcpChannel> m_channel;
    std::string m_received;
    bool m_isClosed = false;
};

/// \brief Runs \a loop until \a isDone; false if that takes longer than any healthy run.
bool runUntil(EventLoop::Loop &loop, const std::function<bool()> &isDone);

} // namespace Verbena::Test
