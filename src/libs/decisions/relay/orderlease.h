#pragma once

#include <core/boottime.h>
#include <core/result.h>
#include <store/tableservice.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Decisions {

/// \brief The content of the row that names the process that gives an engine its orders.
struct OrderHolder
{
    std::string host; ///< Host of the process that gives the orders.
    bool isAgent = false; ///< Whether the process is the agent beside the engine; otherwise a router replaces the agent.
    std::string previousHost; ///< Host of the previous holder until the handover is complete, then empty.

    std::string encode() const;

    /// \brief Decodes the value of a row. Errors: InvalidArgument.
    static Core::Result<OrderHolder> decode(const std::string &text);

    bool operator==(const OrderHolder &) const = default;
};

/// \brief Intervals of the lease on ordering an engine.
struct OrderLeaseOptions
{
    std::chrono::milliseconds readValidity{1000}; ///< Time after the request for the row during which the holder may order without reading it again.
    std::chrono::milliseconds handoverInterval{3000}; ///< Minimum interval between the orders of two holders.
    std::chrono::milliseconds deliveryMargin{300}; ///< Time allowed for the delivery of an order of the previous holder.

    /// \brief Returns the time from the acquisition of a row to the first order of the new holder.
    std::chrono::milliseconds handoverWait() const;
};

/// \brief Lease of this process on ordering one engine, stored in a row of the platform's table.
///
/// The row does not expire and is not renewed, so it costs nothing while there is nothing to order. Its holder keeps it until another process writes its own
/// name. A holder therefore reads the row before it orders. A process that acquires the row from another host waits until that host can no longer order by
/// its last read and the handover interval since its last possible order has passed. Only then it writes the row again without the name of the previous
/// holder. A row without such a name proves that the handover is over to every process that reads it, however late it was written. A process that starts
/// later on the same host need not wait again.
///
/// Handles hosts that are lost, paused or cut off at any time, at either end, while the engine does not check fencing numbers. All time points are of a clock
/// that continues while a host is suspended.
class OrderLease
{
public:
    OrderLease(const OrderLeaseOptions &options, OrderHolder self);

    /// \brief Applies the row, or its absence, from an answer of the table that was requested at \a askedAt and received at \a now.
    void handleRow(const std::optional<Store::TableRow> &row, Core::BootTime askedAt, Core::BootTime now);

    /// \brief Applies \a write, made by acquisitionWrite() or completionWrite(), which was committed at \a revision, requested at \a askedAt and answered at
    /// \a now.
    void handleCommitted(const Store::RowWrite &write, std::uint64_t revision, Core::BootTime askedAt, Core::BootTime now);

    /// \brief Discards the cached row after the engine reported a higher fencing number than this holder's.
    void markFenced();

    /// \brief Returns the write that makes this process the holder, unless the row has changed meanwhile.
    Store::RowWrite acquisitionWrite(const std::string &key) const;

    /// \brief Returns the write that completes the handover, unless the row has changed meanwhile. Call it only if mayCompleteHandover().
    Store::RowWrite completionWrite(const std::string &key) const;

    /// \brief Returns whether the row names this host.
    bool isHeld() const;

    /// \brief Returns whether the row names this host and no previous holder.
    bool isHandoverComplete() const;

    /// \brief Returns whether the wait for the previous holder is over at \a now while the row still names it.
    bool mayCompleteHandover(Core::BootTime now) const;

    /// \brief Returns whether an order may be sent at \a now.
    bool mayOrder(Core::BootTime now) const;

    /// \brief Returns whether the row has to be read before mayOrder() can be true.
    bool isStale(Core::BootTime now) const;

    /// \brief Returns the remaining wait for the previous holder at \a now, once for each handover; else nothing.
    std::optional<std::chrono::milliseconds> takeUnreportedWait(Core::BootTime now);

    /// \brief Returns the holder according to the last row read.
    const std::optional<OrderHolder> &holder() const;

    /// \brief Returns the fencing number of this holder's orders, which is higher than those of all earlier holders.
    std::uint64_t fencingNumber() const;

private:
    OrderHolder nextHolder() const;

    OrderLeaseOptions m_options;
    OrderHolder m_self;
    std::optional<OrderHolder> m_holder;
    std::uint64_t m_revision = 0; ///< Revision of the row; 0 while there is none.
    Core::BootTime m_validUntil{};
    Core::BootTime m_handoverEnd{}; ///< End of the handover that the row at m_revision began.
    std::uint64_t m_reportedRevision = 0; ///< Revision of the row whose wait takeUnreportedWait() returned last.
};

} // namespace Verbena::Decisions
