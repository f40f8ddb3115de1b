#include "usagekeeper.h"

#include <core/boundedspan.h>
#include <eventloop/loop.h>

#include <cmath>

namespace Verbena::Weights {

using Decisions::UsageClaim;
using Decisions::UsageVerdict;

namespace {

UsageClaim decodeClaim(const verbena::wire::UsageClaim &asked)
{
    UsageClaim claim;
    claim.organisation = asked.organisation();
    claim.cap.perSecond = asked.per_second();
    claim.cap.burst = asked.burst();
    claim.capVersion = asked.cap_version();
    claim.cost = asked.cost();
    if (asked.priority() > 0) {
        claim.priority = asked.priority() - 1;
    }
    return claim;
}

// A number that is none, or a cap below zero, would stay in the account of its organisation.
bool isSensible(const UsageClaim &claim)
{
    const bool isFinite = std::isfinite(claim.cost) && std::isfinite(claim.cap.perSecond) && std::isfinite(claim.cap.burst);
    return isFinite && claim.cap.perSecond >= 0 && claim.cap.burst >= 0;
}

} // namespace

Core::Result<std::unique_ptr<UsageKeeper>> UsageKeeper::create(
    EventLoop::Loop &loop, const sockaddr_in &address, double slack, std::function<std::uint32_t()> routersHeard)
{
    std::unique_ptr<UsageKeeper> keeper(new UsageKeeper(loop, slack, std::move(routersHeard)));
    const auto receive = [raw = keeper.get()](const sockaddr_in &from, const verbena::wire::Envelope &message) {
        if (message.has_usage_claim()) {
            raw->handleClaim(from, message.usage_claim());
        }
    };
    auto socket = Wire::DatagramSocket::bind(loop, address, receive);
    if (!socket) {
        return socket.error();
    }
    keeper->m_socket = std::move(socket.value());
    return keeper;
}

UsageKeeper::UsageKeeper(EventLoop::Loop &loop, double slack, std::function<std::uint32_t()> routersHeard)
    : m_loop(loop)
    , m_routersHeard(std::move(routersHeard))
    , m_ledger(slack, loop.now())
{
}

void UsageKeeper::handleClaim(const sockaddr_in &from, const verbena::wire::UsageClaim &asked)
{
    UsageClaim claim = decodeClaim(asked);
    if (!isSensible(claim)) {
        return;
    }
    if (claim.cost < 0) {
        claim.cost = -claim.cost;
        m_ledger.refund(claim, m_loop.now());
        return;
    }
    const Decisions::UsageClaimant claimant{Core::boundedSpan<std::chrono::microseconds>(asked.kept_for_us()), asked.routers(), m_routersHeard()};
    const UsageVerdict verdict = m_ledger.tryConsume(claim, claimant, m_loop.now());
    verbena::wire::Envelope message;
    verbena::wire::UsageVerdict &told = *message.mutable_usage_verdict();
    told.set_id(asked.id());
    told.set_granted(verdict.isGranted);
    told.set_come_back_us(static_cast<std::uint64_t>(std::chrono::microseconds(verdict.retryAfter).count()));
    m_socket->send(from, message);
}

} // namespace Verbena::Weights
