#pragma once

#include <eventloop/loop.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>
#include <http/tcplistener.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief The reaction of a fake backend server to one request.
struct WorkerScript
{
    enum class End {
        Keep, ///< Leaves the connection open until the relay closes it.
        Close,
        Reset,
    };

    std::string bytes;
    End end = End::Keep;
    std::chrono::milliseconds after{0}; ///< Time until the bytes are sent.
    std::string endless = {}; ///< Sent again and again afterwards, as fast as the relay reads; empty for nothing.
};

/// \brief Fake backend server on the test's own event loop that answers with any bytes that a test provides.
class WorkerFake
{
public:
    using Answer = std::function<WorkerScript(const Http::MessageHead &head, const std::string &body)>;

    WorkerFake(EventLoop::Loop &loop, Answer answer, const std::string &address = "127.0.0.1:0");
    ~WorkerFake();

    std::string address() const;

    /// \brief Returns the heads of all complete requests, in order of arrival.
    const std::vector<Http::MessageHead> &heads() const;
    const std::vector<std::string> &bodies() const;

    /// \brief Returns the number of connections that the relay has not closed.
    std::size_t openCount() const;

    /// \brief Returns the number of buffered bytes that the kernel has not accepted, for instance because the relay does not read.
    std::size_t waitingBytes() const;

    /// \brief Ends the server: accepts no connection from now on. Open ones end as their scripts say.
    void stopListening();

    /// \brief Sends \a bytes on the connection of the last request, if it is open.
    void sendMore(const std::string &bytes);

private:
    class Connection;

    EventLoop::Loop &m_loop;
    Answer m_answer;
    std::vector<Http::MessageHead> m_heads;
    std::vector<std::string> m_bodies;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    Connection *m_last = nullptr;
    std::unique_ptr<Http::TcpListener> m_listener; ///< Null after the server has ended.
    std::string m_address;
};

/// \brief Fake caller: one connection on the test's own event loop that sends and receives plain bytes.
class CallerFake : private Http::ChannelObserver
{
public:
    CallerFake(EventLoop::Loop &loop, const Http::Endpoint &endpoint);

    /// \brief Returns a caller with a small receive buffer that does not read until read().
    static std::unique_ptr<CallerFake> createSlow(EventLoop::Loop &loop, const Http::Endpoint &endpoint);

    void send(const std::string &bytes);
    void hangUp();

    /// \brief Ends the sending side after what was sent, and goes on receiving.
    void endSending();

    /// \brief Returns the number of sent bytes that the kernel has not accepted, for instance because the relay does not read.
    std::size_t waitingBytes() const;

    /// \brief Starts to read, for a caller of createSlow().
    void read();

    /// \brief Pauses or resumes reading, for a caller whose host takes what comes.
    void setReading(bool isReading);

    /// \brief Returns all received bytes.
    const std::string &received() const;

    /// \brief Forgets the received bytes, for a caller of which only the connection matters from now on.
    void forgetReceived();
    bool isClosed() const;

    /// \brief Returns whether the connection ended by a reset.
    bool isReset() const;

private:
    CallerFake(EventLoop::Loop &loop, int slowSocket);

    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;

    int m_slowSocket = -1; ///< Owned by the channel.
    std::unique_ptr<Http::TcpChannel> m_channel;
    std::string m_received;
    bool m_isClosed = false;
    bool m_isReset = false;
};

/// \brief Runs \a loop until \a isDone returns true; returns false if that takes much longer than any test should.
bool runUntil(EventLoop::Loop &loop, const std::function<bool()> &isDone);

} // namespace Verbena::Test
