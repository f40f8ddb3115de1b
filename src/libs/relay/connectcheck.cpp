#include "connectcheck.h"

#include <eventloop/loop.h>

namespace Verbena::Relay {

ConnectCheck::ConnectCheck(EventLoop::Loop &loop, const Http::Endpoint &endpoint, Core::TimePoint deadline, Callback done)
    : m_loop(loop)
    , m_done(std::move(done))
    , m_timer(loop, [this] {
        // Moved out because the callback may destroy this check.
        const Callback callback = std::move(m_done);
        callback(m_finding);
    })
{
    auto channel = Http::TcpChannel::connect(loop, endpoint, *this);
    if (!channel) {
        finish(channel.error().code == Core::ErrorCode::NotFound ? Finding::Refused : Finding::Unknown);
        return;
    }
    m_channel = std::move(channel.value());
    m_timer.startAt(deadline);
    if (m_channel->isConnected()) {
        finish(Finding::Listening);
    }
}

ConnectCheck::~ConnectCheck() = default;

// Reports through the timer so that the callback does not destroy the channel while the channel is calling this object.
void ConnectCheck::finish(Finding finding)
{
    m_finding = finding;
    m_timer.startAt(m_loop.now());
}

void ConnectCheck::receiveBytes(std::string_view)
{
}

void ConnectCheck::receiveEnd(Http::ChannelEnd)
{
    finish(m_channel->isRefused() ? Finding::Refused : Finding::Listening);
}

void ConnectCheck::outputDrained()
{
    finish(Finding::Listening);
}

} // namespace Verbena::Relay
