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

/// \brief An attempt that a router has sent to this agent and whose end the router has not received.
struct AgentRun
{
    AgentRun(std::string router, const verbena::wire::Dispatch &received, Core::TimePoint now);

    std::string peer; ///< Router that sent it.
    verbena::wire::Dispatch dispatch;
    Core::TimePoint receivedAt;
    Core::TimePoint deadline;
    FrameBuffer frames;
    std::chrono::microseconds queueWait{0};
    std::uint32_t tokens = 0; ///< Number of tokens received from the backend server.
    bool isStarted = false; ///< Whether it was sent to the backend server.
    bool isPaused = false; ///< Whether reading from the backend server is paused until the router catches up.
    std::optional<verbena::wire::Ended> end; ///< End of the run, once it is known; sent after the last frame.

    Decisions::RequestRef ref() const;
};

/// \brief All attempts that routers are waiting for.
class RunTable
{
public:
    /// \brief Adds an attempt that is not in the table yet.
    AgentRun &insert(AgentRun run);

    AgentRun *find(const Decisions::RequestRef &ref);
    void erase(const Decisions::RequestRef &ref);

    /// \brief Returns the attempts of router \a peer.
    std::vector<Decisions::RequestRef> runsOf(const std::string &peer) const;

    /// \brief Returns the routers that are waiting for an attempt.
    std::vector<std::string> peers() const;

    std::size_t size() const;

    /// \brief Returns the size of all held bodies in bytes.
    std::size_t bodyBytes() const;

    /// \brief Returns the number of bytes of output for which routers have granted no credit.
    std::size_t bufferedBytes() const;

private:
    std::unordered_map<Decisions::RequestRef, AgentRun, Decisions::RequestRefHash> m_runs;
    std::map<std::string, std::set<Decisions::RequestRef>> m_byPeer;
    std::size_t m_bodyBytes = 0;
};

} // namespace Verbena::Agent
