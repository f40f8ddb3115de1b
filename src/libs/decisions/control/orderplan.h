#pragma once

#include "lease.h"

#include "../gate/modelplan.h"

#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief Tells, right before something is sent under a lease, whether it may still go.
class FencingGuard
{
public:
    /// \brief \a margin is kept free before the end of the lease for the way to the engine.
    explicit FencingGuard(std::chrono::milliseconds margin);

    bool maySend(Core::TimePoint sendBy, Core::TimePoint now) const;

private:
    std::chrono::milliseconds m_margin;
};

/// \brief An order to an engine. It says what shall be so, not what to change, so that it can be repeated.
struct EngineOrder
{
    ModelOrder order;
    std::uint64_t fencingNumber = 0; ///< Of the engine's lease; engines that check it refuse a lower one than they saw.
    Core::TimePoint sendBy; ///< End of the leases that it is sent under.
};

/// \brief How an order ended.
enum class OrderAnswer {
    Done, ///< The engine took it; what it holds will show the effect.
    Refused, ///< The engine did not take it.
    Fenced, ///< The engine has seen a higher number: somebody else gives the orders now.
    Unknown, ///< No answer; to be repeated.
};

/// \brief Spans of an order plan.
struct OrderPlanOptions
{
    std::chrono::milliseconds sendMargin{500};
    std::chrono::milliseconds retryInterval{500}; ///< After an answer that was lost.
    std::chrono::milliseconds repeatInterval{5'000}; ///< Until what the engine holds shows the effect.
};

/// \brief Decides which order goes to an engine next, and under which lease and permit.
class OrderPlan
{
public:
    explicit OrderPlan(const OrderPlanOptions &options);

    /// \brief Takes what ModelPlan::orders() says.
    void setOrders(std::vector<ModelOrder> orders);

    /// \brief True while the engine's lease should be held: something is to be ordered, or an order is under way.
    bool isLeaseWanted() const;

    /// \brief True while a permit should be held: weights are to be loaded, or an order to load them has no
    /// effect yet.
    bool isPermitWanted() const;

    /// \brief The order to send now, if any may be. \a engineLease and \a permit are those of this agent.
    std::optional<EngineOrder> nextOrder(const Lease &engineLease, const Lease &permit, Core::TimePoint now) const;

    /// \brief To be asked right before the order is written to the engine: it may have been made ready long ago.
    bool maySend(const EngineOrder &order, const Lease &engineLease, const Lease &permit, Core::TimePoint now) const;

    void recordSent(const EngineOrder &order, Core::TimePoint now);
    void recordAnswer(const EngineOrder &order, OrderAnswer answer, Core::TimePoint now);

    /// \brief When nextOrder() may give something without an event.
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
    std::optional<ModelOrder> m_pendingOrder; ///< Sent and not answered; the leases stay until then.
};

} // namespace Verbena::Decisions
