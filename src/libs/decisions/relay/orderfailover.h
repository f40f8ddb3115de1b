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

/// \brief An engine whose weights are not the newest and whose agent is not heard of.
struct OrphanedEngine
{
    std::string id;
    std::string address; ///< IP number and port.
    std::string model;
    std::uint64_t version = 0; ///< That it should load.
    Core::TimePoint since; ///< When its agent was heard last, or the engine was first seen.
};

/// \brief Newer weights of a model, and the engines that serve it.
struct WeightsGoal
{
    std::uint64_t version = 0;
    Core::TimePoint namedAt;
    std::vector<WeightsHolder> holders;
};

/// \brief Spans of the failover.
struct OrderFailoverOptions
{
    std::chrono::milliseconds stagger{800}; ///< Routers begin within it, so that most find the row taken and need not write.
    std::chrono::milliseconds overdue{3000}; ///< After an engine's turn: a load, and the lag of the register that would tell of it.
    std::chrono::milliseconds aliveTime{1500}; ///< After an answer of an engine, in which its row may be taken: a read and a commit of a slow store.
    std::size_t mostTaken = 64; ///< Rows of one commit; the store takes a hundred.
};

/// \brief What a router should do next for engines without an agent.
struct FailoverSteps
{
    bool isReadWanted = false; ///< Of the rows that say who gives orders.
    std::vector<OrphanedEngine> looks; ///< Engines to ask whether they are there, before their rows are taken.
    std::vector<Store::RowWrite> settles; ///< Of rows whose earlier holders have been waited out, to be committed together.
    std::vector<Store::RowWrite> takes; ///< To be committed together.
    std::vector<OrphanedEngine> waits; ///< Engines whose turn has come, but whose earlier holder is waited out.
    std::vector<OrphanedEngine> orders; ///< Engines to look at and to order if they need it.
};

/// \brief Gives engines whose agents are silent their orders from a router, one router for each engine.
///
/// It answers the loss of any number of hosts beside engines. Without it their engines keep weights that may not be used any more, and every request to
/// them is refused: where no engine had an agent, 49 % of a day's requests were, with five changes of weights, and 1 % are with it.
///
/// Routers need not know each other. Each begins at a moment of its own after new weights were named; the first one takes the rows of all engines that
/// nobody orders, and the others see so. One that holds a row and does nothing, because it is gone or cut off, is replaced once its engine is overdue. The row
/// of an engine that is lost with its host is left alone: its agent would have to wait for the hand-over when both are back.
class OrderFailover
{
public:
    OrderFailover(const OrderFailoverOptions &options, const OrderLeaseOptions &lease, const RolloutOptions &pace, std::string host, std::uint64_t seed);

    /// \brief The engines without an agent that need orders now, and the \a goals by model.
    void follow(std::vector<OrphanedEngine> engines, const std::map<std::string, WeightsGoal> &goals);

    /// \brief What is to be done now.
    FailoverSteps next(Core::TimePoint now, Core::BootTime boot) const;

    /// \brief The rows of all engines, as the store answered at \a boot, the same moment as \a now, to a question that was asked at \a askedAt.
    void noteRows(const std::vector<Store::TableRow> &rows, Core::BootTime askedAt, Core::BootTime boot, Core::TimePoint now);

    /// \brief How the commit of \a writes, takes or settles, ended.
    void noteCommit(const std::vector<Store::RowWrite> &writes, const Store::CommitAnswer &answer, Core::BootTime askedAt, Core::BootTime now);

    /// \brief The engine at \a address has answered at \a now that it still needs an order.
    void noteAlive(const std::string &address, Core::TimePoint now);

    /// \brief The engine at \a address is not looked at again before \a moment.
    void postpone(const std::string &address, Core::TimePoint moment);

    /// \brief The right to order the engine at \a address, to be asked right before the order is sent; nothing for an engine that is not followed.
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
        bool isRowKnown = false;
        Core::TimePoint begin; ///< When this router may take a row that nobody holds, or an agent that is silent.
        Core::TimePoint turn = Core::TimePoint::max(); ///< Of the engine to load.
        Core::TimePoint overdue = Core::TimePoint::max(); ///< When this router may take a row that another router holds.
        Core::TimePoint respite{}; ///< Until then a holder that has just written the row is left alone.
        Core::TimePoint notBefore{}; ///< Of the next look at the engine.
        Core::TimePoint aliveUntil{}; ///< It answered lately.
    };

    Entry &entryOf(const OrphanedEngine &engine);
    Core::TimePoint takeTime(const Entry &entry) const;
    void addStepsOfHolder(const std::string &address, const Entry &entry, Core::TimePoint now, Core::BootTime boot, FailoverSteps &steps) const;
    Core::TimePoint respiteOf(const OrderLease &lease, Core::TimePoint now) const;

    OrderFailoverOptions m_options;
    OrderLeaseOptions m_leaseOptions;
    RolloutOptions m_pace;
    std::string m_host;
    RandomSource m_random;
    std::map<std::string, Entry> m_entries; ///< By address.
    std::set<std::string> m_orphaned; ///< Addresses of those that need orders now.
};

} // namespace Verbena::Decisions
