#pragma once

#include "peerrows.h"

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

/// \brief Routers tell each other by datagrams up to where they know the store's tables, and fetch from each other what they lack.
///
/// A few at random are told now and then, and at once when something changed. So a change reaches every router that any way of others leads to, whatever
/// the store does for the router itself; and a router that is told "nothing changed" knows that what it believes is not old. Each router's traffic is the
/// same however many there are.
class TableGossip
{
public:
    /// \brief Whether a change is worth a call as soon as another router tells that there is one.
    enum class Urgency {
        AtOnce,
        OnceAged, ///< Only if the table is older here than the store's own news ever are.
    };

    /// \brief Talks from \a address; other routers are at the same port of their hosts, and their rows are fetched by \a peers. Errors: Unavailable.
    static Core::Result<std::unique_ptr<TableGossip>> create(
        EventLoop::Loop &loop, const Http::Endpoint &address, PeerRows &peers, const Store::FollowTimes &times, std::uint64_t seed);

    TableGossip(const TableGossip &) = delete;
    TableGossip &operator=(const TableGossip &) = delete;

    /// \brief Tells of the table of \a follower too, which lives as long as the loop runs.
    void follow(Store::TableFollower &follower, Urgency urgency);

    /// \brief Something changed: tells a few other routers soon, once those that hear of it by themselves have done so.
    void tellChange();

private:
    struct Followed
    {
        Store::TableFollower *follower = nullptr;
        Urgency urgency = Urgency::OnceAged;
        std::size_t fetches = 0; ///< Under way.
        Core::TimePoint nextFetch{}; ///< While one is under way.
    };

    TableGossip(EventLoop::Loop &loop, const Http::Endpoint &address, PeerRows &peers, const Store::FollowTimes &times, std::uint64_t seed);
    void tellSome();
    void tell(std::size_t count);
    bool isAged() const;
    bool isOlderThan(const Store::TableFollower &follower, std::chrono::milliseconds age) const;
    verbena::wire::Envelope digests(bool isReply) const;
    void receive(const sockaddr_in &from, const verbena::wire::TableDigests &digests);
    bool take(Followed &followed, const std::string &peer, const Store::TableDigest &theirs);
    bool isHelpful(const Store::TableDigest &theirs, const Store::TableDigest &ours) const;
    void fetch(Followed &followed, const std::string &peer, std::uint64_t asked);

    EventLoop::Loop &m_loop;
    Http::Endpoint m_address;
    PeerRows &m_peers;
    Store::FollowTimes m_times;
    Decisions::RandomSource m_random;
    std::vector<std::unique_ptr<Followed>> m_followed;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
    EventLoop::Timer m_timer;
    EventLoop::Timer m_changeTimer;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
