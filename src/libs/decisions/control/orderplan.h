#pragma once

#include "lease.h"

#include "../gate/modelplan.h"

#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief Checks right before an order is sent whether the remaining time of its lease is sufficient.
class FencingGuard
{
public:
    /// \brief \a margin is the time reserved before the end of the lease for the transport to the engine.
    explicit FencingGuard(std::chrono::milliseconds margin);

    bool maySend(Core::TimePoint sendBy, Core::TimePoint now) const;

private:
    std::chrono::milliseconds m_margin;
};

/// \brief An order to an engine. It describes the desired state instead of a change, so that it can be repeated.
struct EngineOrder
{
    ModelOrder order;
    std::uint64_t fencingNumber = 0; ///< Fencing number of the engine's lease; engines that check it refuse a number lower than one they have received.
    Core::TimePoint sendBy; ///< End of the leases under which the order is sent.
};

/// \brief The result of an order.
enum class OrderAnswer {
    Done, ///< The engine accepted the order; its loaded models will show the effect.
    Refused, ///< The engine did not accept the order.
    Fenced, ///< The engine has received a higher fencing number: another process sends the orders now.
    Unknown, ///< No answer was received; the order has to be repeated.
};

/// \brief Intervals of an OrderPlan.
struct OrderPlanOptions
{
    std::chrono::milliseconds sendMargin{500}; ///< Time before the end of a lease in which nothing is sent.
    std::chrono::milliseconds retryInterval{500}; ///< Delay of the repetition after a lost answer.
    std::chrono::milliseconds repeatInterval{5'000}; ///< Interval of repetitions until the loaded models of the engine show the effect.
};

/// \brief Decides which order is sent to an engine next, and under which lease and permit.
class OrderPlan
{
public:
    explicit OrderPlan(const OrderPlanOptions &options);

    /// \brief Replaces the orders by those of ModelPlan::orders().
    void setOrders(std::vector<ModelOrder> orders);

    /// \brief Returns true while the engine's lease should be held, because there are orders to send or an order is unanswered.
    bool isLeaseWanted() const;

    /// \brief Returns true while a permit should be held, because weights are to be loaded or an order to load them has no effect yet.
    bool isPermitWanted() const;

    /// \brief Returns the order to send now, if there is one that may be sent. \a engineLease and \a permit belong to this agent.
    std::optional<EngineOrder> nextOrder(const Lease &engineLease, const Lease &permit, Core::TimePoint now) const;

    /// \brief Returns true if the order may still be sent. Call it right before writing to the engine, as the order may have been prepared long ago.
    bool maySend(const EngineOrder &order, const Lease &engineLease, const Lease &permit, Core::TimePoint now) const;

    void recordSent(const EngineOrder &order, Core::TimePoint now);
    void recordAnswer(const EngineOrder &order, OrderAnswer answer, Core::TimePoint now);

    /// \brief Returns when nextOrder() may return an order if no event occurs before.
    std::optional<Core::TimePoint> nextDeadline() const;

private:
    struct Entry
    {
        ModelOrder order;
        Core::TimePoint notBefore;
    };

    Entry *find(const ModelOrder &order);

    OrderPlanOptions m_options;
    FencingGuard m_guard;
    std::vector<Entry> m_entries;
    std::optional<ModelOrder> m_pendingOrder; ///< Order that was sent and not answered yet; the leases are kept until the answer.
};

} // namespace Verbena::Decisions
