#pragma once

#include "leasemanager.h"

#include <decisions/control/claimsweeper.h>

#include <memory>

namespace Verbena::Control {

/// \brief Removes expired claims while this process holds the lease for the removal.
class ClaimSweepTask
{
public:
    /// \brief Starts at once. Uses \a table, which must outlive this object. \a owner and \a seed: see Lease.
    ClaimSweepTask(
        Store::TableService &table, EventLoop::Loop &loop, const Decisions::ClaimSweeperOptions &options, const std::string &owner, std::uint64_t seed);
    ~ClaimSweepTask();

private:
    void handleLeaseChange();
    void run();
    void execute(const Decisions::SweepAction &action);

    Store::TableService &m_table;
    EventLoop::Loop &m_loop;
    Decisions::ClaimSweeper m_sweeper;
    EventLoop::Timer m_timer;
    std::shared_ptr<bool> m_alive;
    LeaseManager m_lease;
};

} // namespace Verbena::Control
