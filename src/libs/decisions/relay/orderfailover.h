#pragma once

#include "orderlease.h"
#include "weightsschedule.h"

#include <core/time.h>
#include <decisions/spread/randomsource.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief An engine with outdated weights whose agent is silent.
struct OrphanedEngine
{
    std::string id;
    std::string address; ///< IP address and port.
    std::string model;
    std::uint64_t version = 0; ///< Version of the weights that the engine should load.
    Core::TimePoint lastReportAt; ///< Time of the last report of its agent, or at which the engine was first seen.
};

/// \brief A newer version of a model's weights and the engines that serve the model.
struct WeightsGoal
{
    std::uint64_t version = 0;
    Core::TimePoint announcedAt;
    std::vector<WeightsHolder> holders;
};

/// \brief Intervals and limits of the failover.
struct OrderFailoverOptions
{
    std::chrono::milliseconds startJitter{800}; ///< Maximum random start delay of a router. Most routers then find the rows acquired and need not write.
    std::chrono::milliseconds orderTimeout{3000}; ///< Time after the rollout slot: the duration of a load and the register's delay in reporting it.
    std::chrono::milliseconds probeValidity{1500}; ///< Time to acquire the row after an engine's answer: a read and a commit of a slow store.
    std::size_t maximumRowsPerCommit = 64; ///< Maximum number of rows in one commit; the store accepts a hundred.
};

/// \brief The next steps of a router for engines whose agents are silent.
struct FailoverSteps
{
    bool isReadNeeded = false; ///< Whether to read the rows that name the holders of the leases.
    std::vector<OrphanedEngine> probes; ///< Engines to probe before their rows are acquired.
    std::vector<Store::RowWrite> handoverCompletions; ///< Writes that complete the handover of rows, to be committed together.
    std::vector<Store::RowWrite> acquisitions; ///< Writes that acquire rows, to be committed together.
    std::vector<OrphanedEngine> enginesInHandover; ///< Engines that are due to load but whose handover is not over.
    std::vector<OrphanedEngine> enginesToOrder; ///< Engines to probe and to order to load if they need it.
};

/// \brief Lets one router for each engine give orders in place of a silent agent.
///
/// Handles the loss of any number of hosts beside engines. Otherwise their engines keep weights that have become too old to be used, and all requests to them
/// are refused.
///
/// Routers need not know each other. Each starts after a random delay once new weights were announced; the first one acquires the rows of all engines without
/// a holder, and the others read so. A holder that gives no orders, because it is lost or cut off, is replaced once the order of its engine is overdue. The
/// row of an engine that is lost together with its host is left alone; otherwise its agent would have to wait for the handover when both are back.
class OrderFailover
{
public:
    OrderFailover(const OrderFailoverOptions &options, const OrderLeaseOptions &lease, const RolloutOptions &rollout, std::string host, std::uint64_t seed);

    /// \brief Sets the engines without an agent that need orders now, and the \a goals by model.
    void updateEngines(std::vector<OrphanedEngine> engines, const std::map<std::string, WeightsGoal> &goals);

    /// \brief Returns the steps that are due at \a now.
    FailoverSteps nextSteps(Core::TimePoint now, Core::BootTime boot) const;

    /// \brief Applies the rows of all engines from an answer of the store that was requested at \a askedAt and received at \a boot, which is the same time
    /// point as \a now.
    void handleRows(const std::vector<Store::TableRow> &rows, Core::BootTime askedAt, Core::BootTime boot, Core::TimePoint now);

    /// \brief Handles the result of the commit of \a writes, which acquire rows or complete handovers.
    void handleCommit(const std::vector<Store::RowWrite> &writes, const Store::CommitAnswer &answer, Core::BootTime askedAt, Core::BootTime now);

    /// \brief Records that the engine at \a address answered at \a now that it still needs an order.
    void markReachable(const std::string &address, Core::TimePoint now);

    /// \brief Defers the next probe of the engine at \a address until \a time.
    void postponeProbe(const std::string &address, Core::TimePoint time);

    /// \brief Returns the lease on ordering the engine at \a address, to be checked right before an order is sent; null for an unknown engine.
    OrderLease *lease(const std::string &address);

private:
    struct Entry
    {
        explicit Entry(OrderLease ownLease)
            : lease(std::move(ownLease))
        {
        }

        OrphanedEngine engine;
        OrderLease lease;
        bool isRowCurrent = false;
        Core::TimePoint acquireAfter; ///< Time from which on this router may acquire a row without a holder or held by a silent agent.
        Core::TimePoint loadAt = Core::TimePoint::max(); ///< Time of the engine's rollout slot.
        Core::TimePoint overdueAt = Core::TimePoint::max(); ///< Time from which on this router may acquire a row that another router holds.
        Core::TimePoint gracePeriodEnd{}; ///< Time until which a holder that has just written the row is not replaced.
        Core::TimePoint nextProbeAt{}; ///< Earliest time of the next probe of the engine.
        Core::TimePoint reachableUntil{}; ///< Time until which the engine's last answer is valid.
    };

    Entry &entryFor(const OrphanedEngine &engine);
    Core::TimePoint acquisitionTime(const Entry &entry) const;
    void addHolderSteps(const std::string &address, const Entry &entry, Core::TimePoint now, Core::BootTime boot, FailoverSteps &steps) const;
    Core::TimePoint gracePeriodEnd(const OrderLease &lease, Core::TimePoint now) const;

    OrderFailoverOptions m_options;
    OrderLeaseOptions m_leaseOptions;
    RolloutOptions m_rolloutOptions;
    std::string m_host;
    RandomSource m_random;
    std::map<std::string, Entry> m_entries; ///< Engines by address.
    std::set<std::string> m_orphanedAddresses; ///< Addresses of the engines that need orders now.
};

} // namespace Verbena::Decisions
