#pragma once

#include <decisions/relay/usageaccounts.h>
#include <wire/datagramsocket.h>

#include <functional>
#include <memory>

namespace Verbena::Weights {

/// \brief Counts the usage of some organisations for all routers and answers each of their claims by a datagram.
class UsageKeeper
{
public:
    /// \brief Listens at \a address; \a slack is the usage that it may grant beyond caps and bursts. \a routersHeard returns the number of routers that
    /// watch this host's engine. Errors: Unavailable.
    static Core::Result<std::unique_ptr<UsageKeeper>> create(
        EventLoop::Loop &loop, const sockaddr_in &address, double slack, std::function<std::uint32_t()> routersHeard);

    UsageKeeper(const UsageKeeper &) = delete;
    UsageKeeper &operator=(const UsageKeeper &) = delete;

private:
    UsageKeeper(EventLoop::Loop &loop, double slack, std::function<std::uint32_t()> routersHeard);
    void handleClaim(const sockaddr_in &from, const verbena::wire::UsageClaim &asked);

    EventLoop::Loop &m_loop;
    std::function<std::uint32_t()> m_routersHeard;
    Decisions::UsageAccounts m_ledger;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
};

} // namespace Verbena::Weights
