#pragma once

#include <core/lifetime.h>
#include <decisions/relay/orderlease.h>
#include <store/rowsource.h>

#include <functional>
#include <string>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::Weights {

/// \brief Keeps the agent's lease on ordering its engine, with one request to the store at a time.
class OrderLeaseClient
{
public:
    /// \brief Called after each request to the store with the time at which the next step should be taken.
    using StepObserver = std::function<void(Core::TimePoint nextStep)>;

    /// \brief \a host is the name of this host; \a engineAddress is the key of the row.
    OrderLeaseClient(EventLoop::Loop &loop,
        const Decisions::OrderLeaseOptions &options,
        const std::string &host,
        std::string engineAddress,
        Store::RowStore &rows,
        StepObserver stepDone);

    OrderLeaseClient(const OrderLeaseClient &) = delete;
    OrderLeaseClient &operator=(const OrderLeaseClient &) = delete;

    /// \brief Returns whether an order may be sent now.
    bool mayOrder() const;

    /// \brief Returns whether a request to the store is pending.
    bool isRequestPending() const;

    /// \brief Returns the fencing number of this agent's orders.
    std::uint64_t fencingNumber() const;

    /// \brief Handles that the engine has accepted an order with a higher fencing number.
    void markFenced();

    /// \brief Sends the next request to the store that is needed before an order, if it is time for one.
    void obtain();

private:
    void commit(const Store::RowWrite &write);
    void confirm();
    void handleCommit(const Store::RowWrite &write, const Store::CommitAnswer &answer, Core::BootTime requestedAt);
    void handleCommitted(const Store::RowWrite &write, std::uint64_t revision, Core::BootTime requestedAt);
    void handleConflict(const Store::CommitAnswer &answer, Core::BootTime requestedAt);

    EventLoop::Loop &m_loop;
    std::string m_engineAddress;
    Store::RowStore &m_rows;
    StepObserver m_stepDone;
    Decisions::OrderLease m_lease;
    bool m_isRequestPending = false;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Weights
