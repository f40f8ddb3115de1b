#pragma once

#include "peerrowsource.h"

#include <core/lifetime.h>
#include <eventloop/timer.h>
#include <http/endpoint.h>
#include <store/followtimes.h>
#include <store/tablefollower.h>
#include <wire/datagramsocket.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Exchanges digests of the store's tables with other routers by datagrams, and fetches missing changes from them.
///
/// Digests are sent to a few random routers periodically, and soon after a change. So a change reaches every router that is connected to an up-to-date one,
/// even if the store does not answer that router, and a digest without changes proves that a router's copy is current. Routers whose copies differ at the same
/// revision read the table again. The traffic per router does not depend on the number of routers.
class TableGossip
{
public:
    /// \brief When a change reported by another router is fetched.
    enum class Urgency {
        Immediate, ///< As soon as it is reported.
        WhenOutdated, ///< Only if the local copy is older than it can be while the store answers.
    };

    /// \brief Creates an object that sends and receives at \a address. Other routers use the same port on their hosts, and their rows are fetched through \a
    /// peers. Errors: Unavailable.
    static Core::Result<std::unique_ptr<TableGossip>> create(
        EventLoop::Loop &loop, const Http::Endpoint &address, PeerRowSource &peers, const Store::FollowTimes &times, std::uint64_t seed);

    TableGossip(const TableGossip &) = delete;
    TableGossip &operator=(const TableGossip &) = delete;

    /// \brief Includes the table of \a follower, which has to live as long as the loop runs.
    void follow(Store::TableFollower &follower, Urgency urgency);

    /// \brief Sends digests to a few other routers after a change, with a short delay in which some routers receive it by themselves.
    void announceChange();

private:
    struct Followed
    {
        Store::TableFollower *follower = nullptr;
        Urgency urgency = Urgency::WhenOutdated;
        std::size_t fetches = 0; ///< Number of fetches in progress.
        Core::TimePoint nextFetch{}; ///< Earliest time of another fetch while one is in progress.
        bool isRefused = false; ///< Whether the rows of the last fetch were refused, so that this has been logged.
    };

    TableGossip(EventLoop::Loop &loop, const Http::Endpoint &address, PeerRowSource &peers, const Store::FollowTimes &times, std::uint64_t seed);
    void sendPeriodically();
    void sendDigests(std::size_t count);
    bool isOutdated() const;
    bool isOlderThan(const Store::TableFollower &follower, std::chrono::milliseconds age) const;
    verbena::wire::Envelope digestMessage(bool isReply) const;
    void handleDigests(const sockaddr_in &from, const verbena::wire::TableDigests &digests);
    bool applyDigest(Followed &followed, const std::string &peer, const Store::TableDigest &theirs);
    void handleDifference(Store::TableFollower &follower, const std::string &peer, const Store::TableDigest &theirs);
    bool isHelpful(const Store::TableDigest &theirs, const Store::TableDigest &ours) const;
    static void offer(Followed &followed, const std::string &peer, Store::RowPage page, std::uint64_t requestedRevision);
    void fetch(Followed &followed, const std::string &peer, std::uint64_t requestedRevision);

    EventLoop::Loop &m_loop;
    Http::Endpoint m_address;
    PeerRowSource &m_peers;
    Store::FollowTimes m_times;
    Decisions::RandomSource m_random;
    std::vector<std::unique_ptr<Followed>> m_followed;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
    EventLoop::Timer m_timer;
    EventLoop::Timer m_changeTimer;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
