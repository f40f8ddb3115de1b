#include "runtable.h"

#include <core/boundedspan.h>

namespace Verbena::Agent {

AgentRun::AgentRun(std::string router, const verbena::wire::Dispatch &received, Core::TimePoint now)
    : peer(std::move(router))
    , dispatch(received)
    , receivedAt(now)
    , deadline(now + Core::boundedSpan<std::chrono::microseconds>(received.deadline_left_us()))
    , frames(received.frame_credit())
{
}

Decisions::RequestRef AgentRun::ref() const
{
    return {dispatch.request(), dispatch.attempt()};
}

AgentRun &RunTable::insert(AgentRun run)
{
    const Decisions::RequestRef ref = run.ref();
    m_byPeer[run.peer].insert(ref);
    m_bodyBytes += run.dispatch.body().size();
    return m_runs.emplace(ref, std::move(run)).first->second;
}

AgentRun *RunTable::find(const Decisions::RequestRef &ref)
{
    const auto found = m_runs.find(ref);
    return found == m_runs.end() ? nullptr : &found->second;
}

void RunTable::erase(const Decisions::RequestRef &ref)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end()) {
        return;
    }
    m_bodyBytes -= found->second.dispatch.body().size();
    const auto peer = m_byPeer.find(found->second.peer);
    peer->second.erase(ref);
    if (peer->second.empty()) {
        m_byPeer.erase(peer);
    }
    m_runs.erase(found);
}

std::vector<Decisions::RequestRef> RunTable::runsOf(const std::string &peer) const
{
    const auto found = m_byPeer.find(peer);
    return found == m_byPeer.end() ? std::vector<Decisions::RequestRef>() : std::vector(found->second.begin(), found->second.end());
}

std::vector<std::string> RunTable::peers() const
{
    std::vector<std::string> result;
    result.reserve(m_byPeer.size());
    for (const auto &[peer, runs] : m_byPeer) {
        result.push_back(peer);
    }
    return result;
}

std::size_t RunTable::size() const
{
    return m_runs.size();
}

std::size_t RunTable::bodyBytes() const
{
    return m_bodyBytes;
}

std::size_t RunTable::bufferedBytes() const
{
    std::size_t sum = 0;
    for (const auto &[ref, run] : m_runs) {
        sum += run.frames.text().size();
    }
    return sum;
}

} // namespace Verbena::Agent
