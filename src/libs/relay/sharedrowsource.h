#pragma once

#include "peerrowsource.h"
#include "relaytask.h"

#include <decisions/spread/randomsource.h>
#include <eventloop/loop.h>
#include <store/followtimes.h>
#include <store/rowsource.h>

#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Row source by which a few elected routers follow the store's tables on behalf of all routers.
///
/// Elected routers send their requests to the store. The others send each request to a random elected router, and to the store itself if that router does not
/// answer or its copy was not verified recently. The routers need not agree on who is elected: one that wrongly assumes to be elected sends requests to the
/// store as if it were alone, and one that wrongly gets a request reports how old its copy is.
class SharedRowSource : public Store::RowSource
{
public:
    SharedRowSource(EventLoop::Loop &loop,
        PeerRowSource &peers,
        RelayTask &relay,
        std::uint64_t seed,
        const Store::FollowTimes &times = Store::FollowTimes::within(std::chrono::seconds(3)));

    void readTable(const std::string &table, Core::TimePoint deadline, PageCallback done) override;
    void awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done) override;

private:
    const std::string &chooseElected(const std::vector<std::string> &elected);

    EventLoop::Loop &m_loop;
    PeerRowSource &m_peers;
    RelayTask &m_relay;
    Decisions::RandomSource m_random;
    Store::FollowTimes m_times;
};

} // namespace Verbena::Relay
