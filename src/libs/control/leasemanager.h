#pragma once

#include <decisions/control/lease.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>

#include <functional>
#include <memory>

namespace Verbena::Control {

/// \brief Acquires, renews and gives back one lease in the platform's table; drives a Lease on an event loop.
class LeaseManager
{
public:
    /// \brief Uses \a table, which has to live longer. \a changed is called from the loop when lease() may say something else.
    LeaseManager(Store::TableService &table, EventLoop::Loop &loop, Decisions::Lease lease, std::function<void()> changedCallback);
    ~LeaseManager();

    /// \brief The lease "leases/<name>".
    static Decisions::Lease namedLease(const Decisions::LeaseOptions &options, const std::string &name, const std::string &owner, std::uint64_t seed);

    /// \brief One of the permits to load weights, "permits/weights/1" to "permits/weights/3".
    static Decisions::Lease weightPermit(const Decisions::LeaseOptions &options, const std::string &owner, std::uint64_t seed);

    void setWanted(bool isWanted);

    /// \brief The lease. Ask it with the present moment right before each action under it.
    const Decisions::Lease &lease() const;

private:
    Decisions::ClockReading reading() const;
    void run();
    void execute(const Decisions::LeaseAction &action);
    void notifyIfChanged();

    Store::TableService &m_table;
    EventLoop::Loop &m_loop;
    Decisions::Lease m_lease;
    std::function<void()> m_changedCallback;
    bool m_wasHeld = false;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_run;
    std::shared_ptr<bool> m_alive;
};

} // namespace Verbena::Control
