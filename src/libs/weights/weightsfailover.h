#pragma once

#include "enginecontrol.h"

#include <core/lifetime.h>
#include <decisions/relay/orderfailover.h>
#include <decisions/relay/relayfleet.h>
#include <eventloop/timer.h>
#include <store/rowsource.h>

#include <functional>
#include <memory>
#include <string>

namespace Verbena::Weights {

/// \brief Settings of the failover of orders.
struct FailoverSettings
{
    std::string host; ///< Name of this host, which the orders contain.
    Decisions::RolloutOptions pace;
    Decisions::OrderLeaseOptions lease;
    std::uint64_t seed = 0;
};

/// \brief Orders engines whose agents are silent to load the newest weights.
///
/// While no agent is silent, it sends no requests.
class WeightsFailover
{
public:
    WeightsFailover(EventLoop::Loop &loop,
        const FailoverSettings &settings,
        Decisions::RelayFleet &fleet,
        Store::RowSource &rows,
        Store::RowStore &orderRows,
        EngineControls &engines);
    ~WeightsFailover();

    WeightsFailover(const WeightsFailover &) = delete;
    WeightsFailover &operator=(const WeightsFailover &) = delete;

private:
    void update();
    void readRows();
    void reportWaits(const std::vector<Decisions::OrphanedEngine> &engines);
    void acquireRows(const std::vector<Store::RowWrite> &writes);
    void completeHandovers(const std::vector<Store::RowWrite> &writes);
    void commit(const std::vector<Store::RowWrite> &writes, const std::function<void(std::uint64_t revision)> &committed);
    void requestReport(const Decisions::OrphanedEngine &engine);
    void handleReport(const Decisions::OrphanedEngine &engine, const Core::Result<EngineReport> &report);
    void order(const Decisions::OrphanedEngine &engine, std::uint64_t acceptedOrders);
    void handleOrderAnswer(const Decisions::OrphanedEngine &engine, Decisions::OrderAnswer answer);

    EventLoop::Loop &m_loop;
    std::string m_host;
    Decisions::RelayFleet &m_fleet;
    Store::RowSource &m_rows;
    Store::RowStore &m_orderRows;
    EngineControls &m_engines;
    Decisions::OrderFailover m_failover;
    EventLoop::Timer m_timer;
    bool m_isStoreRequestPending = false;
    Core::TimePoint m_nextStoreRequest{}; ///< Earliest time of the next request to the store after a failure.
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Weights
