#pragma once

#include "framebuffer.h"

#include <core/time.h>
#include <decisions/gate/gatetypes.h>

#include <verbena.pb.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Agent {

/// \brief An attempt that a router has handed to this agent and that has not ended for the router.
struct AgentRun
{
    AgentRun(std::string router, const verbena::wire::Dispatch &received, Core::TimePoint now);

    std::string peer; ///< The router it came from.
    verbena::wire::Dispatch dispatch;
    Core::TimePoint receivedAt;
    Core::TimePoint deadline;
    FrameBuffer frames;
    std::chrono::microseconds queueWait{0};
    std::uint32_t tokens = 0; ///< Received from the backend server.
    bool isStarted = false; ///< Handed to the backend server.
    bool isPaused = false; ///< The backend server has to wait for the router.
    std::optional<verbena::wire::Ended> end; ///< Known once the run is over; sent after the last frame.

    Decisions::RequestRef ref() const;
};

/// \brief All attempts that routers wait for.
class RunTable
{
public:
    /// \brief Adds an attempt that is not there yet.
    AgentRun &insert(AgentRun run);

    AgentRun *find(const Decisions::RequestRef &ref);
    void erase(const Decisions::RequestRef &ref);

    /// \brief The attempts of router \a peer.
    std::vector<Decisions::RequestRef> runsOf(const std::string &peer) const;

    /// \brief The routers that wait for something.
    std::vector<std::string> peers() const;

    std::size_t size() const;

    /// \brief Bytes of all bodies held.
    std::size_t bodyBytes() const;

    /// \brief Bytes of output that routers have not allowed to be sent.
    std::size_t bufferedBytes() const;

private:
    std::unordered_map<Decisions::RequestRef, AgentRun, Decisions::RequestRefHash> m_runs;
    std::map<std::string, std::set<Decisions::RequestRef>> m_byPeer;
    std::size_t m_bodyBytes = 0;
};

} // namespace Verbena::Agent
