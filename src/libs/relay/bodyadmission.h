#pragma once

#include <decisions/relay/bodyqueue.h>
#include <eventloop/deferredcall.h>

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace Verbena::Observe {
class Metrics;
}

namespace Verbena::Relay {

/// \brief Lets requests wait until there is memory for their bodies, and calls them when it is their turn.
class BodyAdmission
{
public:
    /// \brief Called when the request may be read; has to reserve its memory at once.
    using Callback = std::function<void()>;

    /// \brief \a budget and \a metrics must live as long as this object.
    BodyAdmission(EventLoop::Loop &loop, const Decisions::MemoryBudget &budget, Observe::Metrics &metrics);

    BodyAdmission(const BodyAdmission &) = delete;
    BodyAdmission &operator=(const BodyAdmission &) = delete;

    /// \brief Returns the requests that wait and the decision whether another one has to.
    const Decisions::BodyQueue &queue() const;

    /// \brief Lets a request with \a demand wait; returns a number for withdraw().
    std::uint64_t wait(const Decisions::RequestDemand &demand, Callback admitted);

    /// \brief Ends the wait of the request with \a number, which does not call it any more; 0 for none.
    void withdraw(std::uint64_t number);

    /// \brief Handles that there may be more memory than before: before the loop blocks next, requests that fit are called.
    void handleRoom();

private:
    void admitWaiting();

    Decisions::BodyQueue m_queue;
    Observe::Metrics &m_metrics;
    std::unordered_map<std::uint64_t, Callback> m_callbacks; ///< Of the requests that wait, by number.
    EventLoop::DeferredCall m_admit;
};

} // namespace Verbena::Relay
