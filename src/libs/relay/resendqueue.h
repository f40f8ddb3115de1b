#pragma once

#include <decisions/relay/resendbudget.h>
#include <eventloop/timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Verbena::Relay {

/// \brief Requests that wait for this router's resend budget to fill.
///
/// The budget that the process had earned before a restart is lost, so a request whose backend server fails soon afterwards waits for a short time instead
/// of failing. Later, an empty budget means that many calls fail, and only streams that have begun wait: breaking them off loses what was generated.
class ResendQueue
{
public:
    /// \brief Called once, after wait() has returned, with whether the request may be sent again.
    using Callback = std::function<void(bool isGranted)>;

    /// \brief Accepts requests that are no begun streams until \a end, when \a budget has had time to fill.
    ResendQueue(EventLoop::Loop &loop, Decisions::ResendBudget &budget, Core::TimePoint end);

    /// \brief Adds a request that waits for a resend to \a service at \a earliest or later. Returns a number for withdraw(), or 0 if it may not wait.
    std::uint64_t wait(const std::string &service, Decisions::ResendPurpose purpose, Core::TimePoint earliest, Callback done);

    /// \brief Removes the request with \a number without calling it back.
    void withdraw(std::uint64_t number);

private:
    struct Entry
    {
        std::string service;
        Decisions::ResendPurpose purpose;
        Callback done;
        Core::TimePoint earliest;
        Core::TimePoint deadline;
    };

    void grantResends();

    EventLoop::Loop &m_loop;
    Decisions::ResendBudget &m_budget;
    Core::TimePoint m_end;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Entry> m_entries; ///< By number, so in the order of their arrival.
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Relay
