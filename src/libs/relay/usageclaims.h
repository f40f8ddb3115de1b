#pragma once

#include "relaytask.h"
#include "usagecontrol.h"

#include <decisions/relay/usageowners.h>
#include <decisions/relay/usageshare.h>
#include <eventloop/timer.h>
#include <wire/datagramsocket.h>

#include <map>
#include <memory>
#include <string>

namespace Verbena::Relay {

/// \brief Asks the agents that keep the usage of organisations, by one datagram a request, and uses this router's own share where no answer comes.
class UsageClaims : public UsageControl
{
public:
    /// \brief Talks from \a address; the agents are at the same port of their hosts. \a slack is what all routers may use on top. Errors: Unavailable.
    static Core::Result<std::unique_ptr<UsageClaims>> create(EventLoop::Loop &loop, const Http::Endpoint &address, double slack, RelayTask &relay);
    ~UsageClaims() override;

    UsageClaims(const UsageClaims &) = delete;
    UsageClaims &operator=(const UsageClaims &) = delete;

    std::uint64_t claim(const Decisions::UsageClaim &claim, Callback done) override;
    void withdraw(std::uint64_t number) override;
    void giveBack(const Decisions::UsageClaim &claim) override;

private:
    struct Question
    {
        Decisions::UsageClaim claim;
        std::string keeper;
        Callback done; ///< Empty once it was answered from this router's share, or withdrawn.
        Core::TimePoint resendTime;
        Core::TimePoint deadline;
        bool isResent = false;
    };

    UsageClaims(EventLoop::Loop &loop, const Http::Endpoint &address, double slack, RelayTask &relay);
    void followAgents();
    void send(std::uint64_t number, const Decisions::UsageClaim &claim, const Decisions::UsageOwnerChoice &keeper);
    void take(const verbena::wire::Envelope &message);
    void look();
    void giveUp(std::uint64_t number);
    void noteSilent(const std::string &keeper);
    void noteAnswered(const Question &question);
    void settleFromShare(const Decisions::UsageClaim &claim, const Callback &done);

    EventLoop::Loop &m_loop;
    Http::Endpoint m_address;
    RelayTask &m_relay;
    Decisions::UsageOwners m_keepers;
    Decisions::UsageShare m_share;
    std::uint64_t m_followedRevision = 0;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Question> m_questions; ///< In the order in which they were asked.
    std::map<std::string, Core::TimePoint> m_silentSince; ///< Keepers that let a question pass, by address of the engine.
    EventLoop::Timer m_timer;
    Core::TimePoint m_lookTime{};
    std::unique_ptr<Wire::DatagramSocket> m_socket;
};

} // namespace Verbena::Relay
