#pragma once

#include "peerrows.h"
#include "relaytask.h"

#include <decisions/spread/randomsource.h>
#include <eventloop/loop.h>
#include <store/followtimes.h>
#include <store/rowsource.h>

#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Lets a few routers follow the store's tables for all.
///
/// Those that are elected ask the store, the others ask one of them at random with each question and the store itself if that one does not answer, or has
/// not heard of the store for longer than a moment. Nobody has to agree on who is elected: one that wrongly takes itself for elected asks the store as it
/// would alone, and one that is wrongly asked says how old its knowledge is.
class SharedRows : public Store::RowSource
{
public:
    SharedRows(EventLoop::Loop &loop,
        PeerRows &peers,
        RelayTask &relay,
        std::uint64_t seed,
        const Store::FollowTimes &times = Store::FollowTimes::within(std::chrono::seconds(3)));

    void readTable(const std::string &table, Core::TimePoint deadline, PageCallback done) override;
    void awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done) override;

private:
    const std::string &choose(const std::vector<std::string> &elected);

    EventLoop::Loop &m_loop;
    PeerRows &m_peers;
    RelayTask &m_relay;
    Decisions::RandomSource m_random;
    Store::FollowTimes m_times;
};

} // namespace Verbena::Relay
