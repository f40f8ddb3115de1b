#pragma once

#include <core/time.h>
#include <decisions/spread/randomsource.h>
#include <store/storetime.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief The other known routers and how current their recent digests were; free of I/O.
///
/// Routers that were not mentioned for some time are removed. Routers with the most current recent digest are preferred for requests.
class PeerTable
{
public:
    /// \brief Creates a table that never contains \a self, an IP address. A digest of a peer is used for \a digestLifetime.
    PeerTable(std::string self, std::chrono::milliseconds digestLifetime);

    /// \brief Adds the router at \a address, an IP address, or extends its lifetime in the table.
    void add(const std::string &address, Core::TimePoint now);

    /// \brief Records a digest of the router at \a address: it has all changes that the store acknowledged before \a verifiedAt.
    void recordDigest(const std::string &address, const std::optional<Store::StoreTime> &verifiedAt, Core::TimePoint now);

    /// \brief Returns whether the router at \a address recently sent a digest.
    bool hasRecentDigest(const std::string &address, Core::TimePoint now) const;

    /// \brief Returns up to \a count different peers at random.
    std::vector<std::string> sample(std::size_t count, Decisions::RandomSource &random, Core::TimePoint now);

    /// \brief Returns the peer with the most current recent digest, else a random one; nothing if the table is empty.
    std::optional<std::string> mostCurrent(Decisions::RandomSource &random, Core::TimePoint now);

private:
    struct Peer
    {
        Core::TimePoint expiryTime;
        Core::TimePoint digestExpiryTime{}; ///< Time until which its last digest is used.
        std::optional<Store::StoreTime> verifiedAt;
    };

    Peer *findOrAdd(const std::string &address, Core::TimePoint now);
    void evictExpired(Core::TimePoint now);

    std::string m_self;
    std::chrono::milliseconds m_digestLifetime; ///< Time for which a digest is used, from the settings.
    std::map<std::string, Peer> m_peers; ///< Peers by address.
};

} // namespace Verbena::Relay
