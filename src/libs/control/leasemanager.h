#pragma once

#include <decisions/control/lease.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>

#include <functional>
#include <memory>

namespace Verbena::Control {

/// \brief Acquires, renews and releases one lease in the platform's table by running a Lease on an event loop.
class LeaseManager
{
public:
    /// \brief Uses \a table, which must outlive this object. \a changedCallback is called from the loop when lease() was acquired or lost.
    LeaseManager(Store::TableService &table, EventLoop::Loop &loop, Decisions::Lease lease, std::function<void()> changedCallback);
    ~LeaseManager();

    /// \brief Returns the lease on the row "leases/<name>".
    static Decisions::Lease namedLease(const Decisions::LeaseOptions &options, const std::string &name, const std::string &owner, std::uint64_t seed);

    /// \brief Returns a lease on one of the permits to load weights, "permits/weights/1" to "permits/weights/3".
    static Decisions::Lease weightPermit(const Decisions::LeaseOptions &options, const std::string &owner, std::uint64_t seed);

    void setWanted(bool isWanted);

    /// \brief Returns the lease. Check isHeld() with the current time right before each action that needs the lease.
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
