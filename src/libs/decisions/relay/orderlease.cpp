#include "orderlease.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::string_view agentMark = "agent ";
constexpr std::string_view routerMark = "router ";
constexpr std::string_view successorMark = " after ";
constexpr const char *unknownHost = "unknown";

} // namespace

std::string OrderHolder::encode() const
{
    const std::string text = std::string(isAgent ? agentMark : routerMark) + host;
    return successorOf.empty() ? text : text + std::string(successorMark) + successorOf;
}

Core::Result<OrderHolder> OrderHolder::decode(const std::string &text)
{
    for (const std::string_view mark : {agentMark, routerMark}) {
        if (!text.starts_with(mark) || text.size() == mark.size()) {
            continue;
        }
        const std::string names = text.substr(mark.size());
        const std::size_t end = names.find(successorMark);
        const std::string before = end == std::string::npos ? "" : names.substr(end + successorMark.size());
        return OrderHolder{names.substr(0, end), mark == agentMark, before};
    }
    return Core::Error{Core::ErrorCode::InvalidArgument, "orders.holder", "", "The row does not name who gives orders."};
}

std::chrono::milliseconds OrderLeaseOptions::wait() const
{
    return trust + handOver + margin;
}

OrderLease::OrderLease(const OrderLeaseOptions &options, OrderHolder self)
    : m_options(options)
    , m_self(std::move(self))
{
}

// A row that names this host may have been written, by an earlier process of it or by a commit whose answer was lost, at any moment until the answer. So the
// wait counts from the answer: counted from the question, two hosts ordered one engine within the hand-over in 4 of some 200,000 plays of kills right after
// commits.
void OrderLease::noteRow(const std::optional<Store::TableRow> &row, Core::BootTime askedAt, Core::BootTime now)
{
    const std::uint64_t revision = row.has_value() ? row->revision : 0;
    if (revision < m_revision) {
        return; // An answer from before what is known already.
    }
    const bool wasHeld = isHeld();
    const bool isSame = revision == m_revision;
    m_revision = revision;
    const auto holder = row.has_value() && !row->isDeleted ? OrderHolder::decode(row->value) : Core::Result<OrderHolder>(OrderHolder{});
    m_holder = holder && !holder.value().host.empty() ? std::optional(holder.value()) : std::nullopt;
    if (!isHeld()) {
        m_trustedUntil = {};
        return;
    }
    if (!wasHeld || !isSame) {
        m_waitEnd = now + m_options.wait();
    }
    m_trustedUntil = askedAt + m_options.trust;
}

void OrderLease::noteWritten(const Store::RowWrite &write, std::uint64_t revision, Core::BootTime askedAt, Core::BootTime now)
{
    noteRow(Store::TableRow{write.key, *write.value, revision, false}, askedAt, now);
}

void OrderLease::noteFenced()
{
    m_holder.reset();
    m_trustedUntil = {};
}

Store::RowWrite OrderLease::take(const std::string &key) const
{
    return {key, successor().encode(), m_revision};
}

Store::RowWrite OrderLease::settle(const std::string &key) const
{
    return {key, m_self.encode(), m_revision};
}

// A row that cannot be read may have been anybody's.
OrderHolder OrderLease::successor() const
{
    OrderHolder next = m_self;
    if (m_holder.has_value()) {
        next.successorOf = isHeld() ? m_holder->successorOf : m_holder->host;
    } else if (m_revision > 0) {
        next.successorOf = unknownHost;
    }
    return next;
}

bool OrderLease::isHeld() const
{
    return m_holder.has_value() && m_holder->host == m_self.host;
}

bool OrderLease::isSettled() const
{
    return isHeld() && m_holder->successorOf.empty();
}

bool OrderLease::maySettle(Core::BootTime now) const
{
    return isHeld() && !isSettled() && now >= m_waitEnd;
}

bool OrderLease::mayOrder(Core::BootTime now) const
{
    return isSettled() && now < m_trustedUntil;
}

bool OrderLease::isStale(Core::BootTime now) const
{
    return now >= m_trustedUntil;
}

std::optional<std::chrono::milliseconds> OrderLease::untoldWait(Core::BootTime now)
{
    if (!isHeld() || isSettled() || now >= m_waitEnd || m_toldWait == m_revision) {
        return std::nullopt;
    }
    m_toldWait = m_revision;
    return std::chrono::ceil<std::chrono::milliseconds>(m_waitEnd - now);
}

const std::optional<OrderHolder> &OrderLease::holder() const
{
    return m_holder;
}

std::uint64_t OrderLease::fence() const
{
    return m_revision;
}

} // namespace Verbena::Decisions
