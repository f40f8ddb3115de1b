#pragma once

#include "relaytask.h"
#include "usagecontrol.h"

#include <decisions/relay/usageowners.h>
#include <decisions/relay/usageshare.h>
#include <decisions/spread/messagenumbers.h>
#include <decisions/spread/randomsource.h>
#include <eventloop/timer.h>
#include <wire/datagramsocket.h>

#include <map>
#include <memory>
#include <string>

namespace Verbena::Relay {

/// \brief Asks the agents that own the usage counters of organisations, with one datagram per request, and decides from this router's share if no answer comes.
class UsageClient : public UsageControl
{
public:
    /// \brief Binds to \a address; the agents use the same port on their hosts. \a slack is the part of a cap that all routers together may use on top. \a seed
    /// spreads the times at which refused callers retry.
    ///
    /// Errors: Unavailable.
    static Core::Result<std::unique_ptr<UsageClient>> create(
        EventLoop::Loop &loop, const Http::Endpoint &address, double slack, RelayTask &relay, std::uint64_t seed);
    ~UsageClient() override;

    UsageClient(const UsageClient &) = delete;
    UsageClient &operator=(const UsageClient &) = delete;

    std::uint64_t claim(const Decisions::UsageClaim &claim, Callback done) override;
    void withdraw(std::uint64_t number) override;
    void refund(const Decisions::UsageClaim &claim) override;

private:
    struct PendingClaim
    {
        Decisions::UsageClaim claim;
        std::string owner; ///< Address of the asked owner.
        Callback done; ///< Empty if the claim was decided from this router's share or withdrawn.
        Core::TimePoint resendTime;
        Core::TimePoint deadline;
        bool isResent = false;
    };

    UsageClient(EventLoop::Loop &loop, const Http::Endpoint &address, double slack, RelayTask &relay, std::uint64_t seed);
    Decisions::UsageVerdict spread(const Decisions::UsageVerdict &verdict);
    void updateAgents();
    void send(std::uint64_t number, const Decisions::UsageClaim &claim, const Decisions::UsageOwnerChoice &owner);
    void handleMessage(const verbena::wire::Envelope &message);
    void checkPendingClaims();
    void handleTimeout(std::uint64_t number);
    void recordOwnerSilent(const std::string &owner);
    void recordOwnerAnswer(const PendingClaim &pending);
    void decideFromShare(const Decisions::UsageClaim &claim, const Callback &done);

    EventLoop::Loop &m_loop;
    Http::Endpoint m_address;
    RelayTask &m_relay;
    Decisions::UsageOwners m_owners;
    Decisions::UsageShare m_share;
    Decisions::RandomSource m_random;
    std::uint64_t m_agentsRevision = 0;
    Decisions::MessageNumbers m_numbers; ///< Of claims.
    std::map<std::uint64_t, PendingClaim> m_pendingClaims; ///< By number, so in the order in which they were sent.
    std::map<std::string, Core::TimePoint> m_silentSince; ///< Time since which an owner has not answered, by address of its engine.
    EventLoop::Timer m_timer;
    Core::TimePoint m_nextCheckTime{};
    std::unique_ptr<Wire::DatagramSocket> m_socket;
};

} // namespace Verbena::Relay
