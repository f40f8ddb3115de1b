#include "serverloads.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

// Long enough for the host list to say the same, short enough for one that stays after all.
constexpr std::chrono::seconds leavingPause{10};
// Nobody who is refused here hears of a new level, so an old one must not hold for long.
constexpr std::chrono::milliseconds levelLifetime{250};

} // namespace

ServerLoads::ServerLoads(microseconds hintLifetime)
    : m_hintLifetime(hintLifetime)
{
}

void ServerLoads::noteReport(BackendServerId id, const LoadReport &report, Core::TimePoint now)
{
    Load &load = m_loads[id];
    load.report = report;
    load.noted = now;
    load.deadline = now + m_hintLifetime;
    load.pausedUntil = report.isLeaving ? now + leavingPause : load.pausedUntil;
}

void ServerLoads::noteSent(BackendServerId id, microseconds work)
{
    m_loads[id].unanswered += work;
}

void ServerLoads::noteAnswered(BackendServerId id, microseconds work)
{
    const auto found = m_loads.find(id);
    if (found != m_loads.end()) {
        found->second.unanswered = std::max(microseconds(0), found->second.unanswered - work);
    }
}

void ServerLoads::pause(BackendServerId id, Core::TimePoint deadline)
{
    m_loads[id].pausedUntil = deadline;
}

void ServerLoads::restart(BackendServerId id, std::uint64_t incarnation)
{
    Load load;
    load.report.incarnation = incarnation;
    m_loads[id] = load;
}

void ServerLoads::remove(BackendServerId id)
{
    m_loads.erase(id);
}

const ServerLoads::Load *ServerLoads::find(BackendServerId id) const
{
    const auto found = m_loads.find(id);
    return found == m_loads.end() ? nullptr : &found->second;
}

// A queue drains while nothing is heard of it, so an old hint fades by itself; past its deadline only the own work is counted.
microseconds ServerLoads::wait(BackendServerId id, Core::TimePoint now) const
{
    const Load *load = find(id);
    if (load == nullptr) {
        return microseconds(0);
    }
    const microseconds left = load->report.queuedWork - duration_cast<microseconds>(now - load->noted);
    const microseconds hinted = now < load->deadline ? std::max(microseconds(0), left) : microseconds(0);
    return hinted + load->unanswered;
}

microseconds ServerLoads::unanswered(BackendServerId id) const
{
    const Load *load = find(id);
    return load == nullptr ? microseconds(0) : load->unanswered;
}

microseconds ServerLoads::prefillPerPiece(BackendServerId id, microseconds otherwise) const
{
    const Load *load = find(id);
    return load == nullptr || load->report.prefillPerPiece == microseconds(0) ? otherwise : load->report.prefillPerPiece;
}

bool ServerLoads::isPaused(BackendServerId id, Core::TimePoint now) const
{
    const Load *load = find(id);
    return load != nullptr && now < load->pausedUntil;
}

std::uint32_t ServerLoads::overloadLevel(BackendServerId id, Core::TimePoint now) const
{
    const Load *load = find(id);
    return load == nullptr || now >= load->noted + levelLifetime ? 0 : load->report.overloadLevel;
}

std::uint64_t ServerLoads::epoch(BackendServerId id) const
{
    const Load *load = find(id);
    return load == nullptr ? 0 : load->report.incarnation;
}

} // namespace Verbena::Decisions
