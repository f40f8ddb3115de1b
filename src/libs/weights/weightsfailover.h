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

/// \brief Who gives orders for agents that are silent, and at which pace.
struct FailoverSettings
{
    std::string host; ///< Name of this host, which signs the orders.
    Decisions::RolloutOptions pace;
    Decisions::OrderLeaseOptions lease;
    std::uint64_t seed = 0;
};

/// \brief Brings engines whose agents are silent to the newest weights.
///
/// As long as all agents are heard it asks nobody anything.
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
    void look();
    void readRows();
    void tellWaits(const std::vector<Decisions::OrphanedEngine> &engines);
    void take(const std::vector<Store::RowWrite> &takes);
    void settle(const std::vector<Store::RowWrite> &settles);
    void commit(const std::vector<Store::RowWrite> &writes, const std::function<void(std::uint64_t revision)> &committed);
    void lookAtEngine(const Decisions::OrphanedEngine &engine);
    void takeReport(const Decisions::OrphanedEngine &engine, const Core::Result<EngineReport> &report);
    void order(const Decisions::OrphanedEngine &engine, std::uint64_t acceptedOrders);
    void takeOrderAnswer(const Decisions::OrphanedEngine &engine, Decisions::OrderAnswer answer);

    EventLoop::Loop &m_loop;
    std::string m_host;
    Decisions::RelayFleet &m_fleet;
    Store::RowSource &m_rows;
    Store::RowStore &m_orderRows;
    EngineControls &m_engines;
    Decisions::OrderFailover m_failover;
    EventLoop::Timer m_timer;
    bool m_isAskingStore = false;
    Core::TimePoint m_nextQuestion{}; ///< To the store, after a failure.
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Weights
