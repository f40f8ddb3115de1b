#pragma once

#include <core/boottime.h>
#include <core/result.h>
#include <store/tableservice.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Decisions {

/// \brief The content of the row that says who gives an engine its orders.
struct OrderHolder
{
    std::string host; ///< Of the process that gives them.
    bool isAgent = false; ///< The process beside the engine, and not a router in its place.
    std::string successorOf; ///< Host that held the row before, while its orders have to be waited out; else empty.

    std::string encode() const;

    /// \brief Reads a row's value. Errors: InvalidArgument.
    static Core::Result<OrderHolder> decode(const std::string &text);

    bool operator==(const OrderHolder &) const = default;
};

/// \brief Spans of the right to order an engine.
struct OrderLeaseOptions
{
    std::chrono::milliseconds trust{1000}; ///< From the asking for the row; so long a holder may order without asking again.
    std::chrono::milliseconds handOver{3000}; ///< That have to lie between the orders of two holders.
    std::chrono::milliseconds margin{300}; ///< For an order of the earlier holder that is still on its way.

    /// \brief From the taking of a row to the first order of the new holder.
    std::chrono::milliseconds wait() const;
};

/// \brief Whether this process may order one engine, by a row of the platform's table.
///
/// The row has no expiry and is not renewed, so that it costs nothing while there is nothing to order. Who holds it goes on until another process writes
/// its own name in its place. A holder therefore asks for the row before it orders, and a process that took it from another host waits until the other
/// one can neither order any more by what it read before, nor has ordered within the hand-over. Then, and not before, it writes the row once more without
/// the earlier holder's name: a row without such a name proves the hand-over to be over, to every process that reads it and however late it was written. So a
/// process that starts later on the same host need not wait again: without that, one that started 16 s after a hand-over gave its first order 4.3 s late.
///
/// It answers hosts that are lost, paused or cut off at any moment, at either end, while the engine checks no fencing number. All moments are those of a
/// clock that goes on while a host is suspended.
class OrderLease
{
public:
    OrderLease(const OrderLeaseOptions &options, OrderHolder self);

    /// \brief The row, or that there is none, as the table answered at \a now to a question that was asked at \a askedAt.
    void noteRow(const std::optional<Store::TableRow> &row, Core::BootTime askedAt, Core::BootTime now);

    /// \brief The \a write that take() or settle() gave was committed at \a revision; asked at \a askedAt and answered at \a now.
    void noteWritten(const Store::RowWrite &write, std::uint64_t revision, Core::BootTime askedAt, Core::BootTime now);

    /// \brief The engine has seen a higher number than this holder's: the row is not believed any more.
    void noteFenced();

    /// \brief The write that makes this process the holder, unless the row has changed meanwhile.
    Store::RowWrite take(const std::string &key) const;

    /// \brief The write that ends the hand-over, unless the row has changed meanwhile; only once maySettle().
    Store::RowWrite settle(const std::string &key) const;

    /// \brief The row names this host.
    bool isHeld() const;

    /// \brief The row names this host, and no earlier holder has to be waited out.
    bool isSettled() const;

    /// \brief Whether the earlier holder has been waited out, but the row does not say so yet.
    bool maySettle(Core::BootTime now) const;

    /// \brief Whether an order may be sent right now.
    bool mayOrder(Core::BootTime now) const;

    /// \brief Whether the row has to be asked for before mayOrder() can be true.
    bool isStale(Core::BootTime now) const;

    /// \brief How long the earlier holder has to be waited out from \a now on, told once for each hand-over; else nothing.
    std::optional<std::chrono::milliseconds> untoldWait(Core::BootTime now);

    /// \brief Who holds the row, as far as it is known.
    const std::optional<OrderHolder> &holder() const;

    /// \brief Number of this holder's orders; above those of all earlier ones.
    std::uint64_t fence() const;

private:
    OrderHolder successor() const;

    OrderLeaseOptions m_options;
    OrderHolder m_self;
    std::optional<OrderHolder> m_holder;
    std::uint64_t m_revision = 0; ///< Of the row; 0 while there is none.
    Core::BootTime m_trustedUntil{};
    Core::BootTime m_waitEnd{}; ///< Of the hand-over that the row at m_revision began.
    std::uint64_t m_toldWait = 0; ///< Revision of the row whose hand-over untoldWait() told last.
};

} // namespace Verbena::Decisions
