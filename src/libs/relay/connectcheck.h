#pragma once

#include <core/time.h>
#include <eventloop/timer.h>
#include <http/tcpchannel.h>

#include <functional>
#include <memory>

namespace Verbena::Relay {

/// \brief Finds out whether anybody listens at an address, by one connection that carries nothing.
class ConnectCheck : private Http::ChannelObserver
{
public:
    enum class Finding {
        Listening,
        Refused, ///< The host answers that no process listens there.
        Unknown, ///< No answer in time.
    };

    using Callback = std::function<void(Finding finding)>;

    /// \brief Calls \a done once, later, which may destroy the check.
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
