#pragma once

#include <core/time.h>
#include <eventloop/timer.h>
#include <http/tcpchannel.h>

#include <functional>
#include <memory>

namespace Verbena::Relay {

/// \brief Checks whether a process listens at an address by opening a connection that carries no data.
class ConnectCheck : private Http::ChannelObserver
{
public:
    enum class Finding {
        Listening, ///< A connection was accepted.
        Refused, ///< The host refused the connection: no process listens there.
        Unknown, ///< There was no answer before the deadline.
    };

    using Callback = std::function<void(Finding finding)>;

    /// \brief Starts the check; calls \a done once, after the constructor has returned and at \a deadline at the latest. \a done may destroy the check.
    ConnectCheck(EventLoop::Loop &loop, const Http::Endpoint &endpoint, Core::TimePoint deadline, Callback done);
    ~ConnectCheck() override;

    ConnectCheck(const ConnectCheck &) = delete;
    ConnectCheck &operator=(const ConnectCheck &) = delete;

private:
    void finish(Finding finding);
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void outputDrained() override;

    EventLoop::Loop &m_loop;
    Callback m_done;
    EventLoop::Timer m_timer;
    std::unique_ptr<Http::TcpChannel> m_channel;
    Finding m_finding = Finding::Unknown;
};

} // namespace Verbena::Relay
