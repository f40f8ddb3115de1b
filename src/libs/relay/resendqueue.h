#pragma once

#include <decisions/relay/resendbudget.h>
#include <eventloop/timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Verbena::Relay {

/// \brief Requests that wait for this router's budget of resends to fill, for the first seconds of its process.
///
/// It answers a lone restart: what the process before it had saved is forgotten, and a request whose backend server fails it meanwhile waits a moment
/// rather than fail. Later an empty budget says that much fails, and nobody waits for it.
class ResendQueue
{
public:
    /// \brief Told once, later, whether the request may be sent again.
    using Callback = std::function<void(bool isGranted)>;

    /// \brief From \a end on nobody waits: \a budget has had time to fill.
    ResendQueue(EventLoop::Loop &loop, Decisions::ResendBudget &budget, Core::TimePoint end);

    /// \brief Waits for a resend to \a service. Returns a number by which that can be withdrawn, 0 if nobody may wait any more.
    std::uint64_t wait(const std::string &service, Decisions::ResendPurpose purpose, Callback done);

    /// \brief The request that waits under \a number is gone.
    void withdraw(std::uint64_t number);

private:
    struct Entry
    {
        std::string service;
        Decisions::ResendPurpose purpose;
        Callback done;
        Core::TimePoint deadline;
    };

    void grantResends();

    EventLoop::Loop &m_loop;
    Decisions::ResendBudget &m_budget;
    Core::TimePoint m_end;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Entry> m_entries; ///< In the order in which they came.
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Relay
