#pragma once

#include <core/time.h>
#include <decisions/spread/randomsource.h>
#include <store/storetime.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief The other routers that are known, and what they said lately of how much they know; free of I/O.
///
/// Who was not heard of for a while is forgotten, and who said lately that it hears the store is asked before others.
class PeerBook
{
public:
    /// \brief \a self, an IP number, is never taken for a peer; what a peer said counts for \a heardTime.
    PeerBook(std::string self, std::chrono::milliseconds heardTime);

    /// \brief Somebody named the router at \a address, an IP number.
    void note(const std::string &address, Core::TimePoint now);

    /// \brief The router at \a address said itself that it knows all that the store acknowledged before \a verifiedAt.
    void noteSaid(const std::string &address, const std::optional<Store::StoreTime> &verifiedAt, Core::TimePoint now);

    /// \brief Whether the router at \a address was heard lately.
    bool isHeard(const std::string &address, Core::TimePoint now) const;

    /// \brief Up to \a count different peers at random.
    std::vector<std::string> draw(std::size_t count, Decisions::RandomSource &random, Core::TimePoint now);

    /// \brief Whom to ask: the peer that lately said to know most, else one at random; nothing if none is known.
    std::optional<std::string> best(Decisions::RandomSource &random, Core::TimePoint now);

private:
    struct Peer
    {
        Core::TimePoint forgetTime;
        Core::TimePoint heardDeadline{}; ///< Until then what it said counts.
        std::optional<Store::StoreTime> verifiedAt;
    };

    Peer *find(const std::string &address, Core::TimePoint now);
    void forget(Core::TimePoint now);

    std::string m_self;
    std::chrono::milliseconds m_heardTime; ///< Of the settings.
    std::map<std::string, Peer> m_peers; ///< By address.
};

} // namespace Verbena::Relay
