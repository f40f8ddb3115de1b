#include "serverloads.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

// Long enough for the host list to show that the server is leaving, short enough for a server that stays after all.
constexpr std::chrono::seconds leavingPause{10};
// A router that refuses requests by the level of an agent sends it nothing, and so gets no new level from it: a level must expire soon.
constexpr std::chrono::milliseconds levelLifetime{250};

} // namespace

ServerLoads::ServerLoads(microseconds hintLifetime)
    : m_hintLifetime(hintLifetime)
{
}

void ServerLoads::updateReport(BackendServerId id, const LoadReport &report, Core::TimePoint now)
{
    Load &load = m_loads[id];
    load.report = report;
    load.reportedAt = now;
    load.validUntil = now + m_hintLifetime;
    load.pausedUntil = report.isLeaving ? now + leavingPause : load.pausedUntil;
}

void ServerLoads::recordSent(BackendServerId id, microseconds work)
{
    m_loads[id].unansweredWork += work;
}

void ServerLoads::recordAnswered(BackendServerId id, microseconds work)
{
    const auto found = m_loads.find(id);
    if (found != m_loads.end()) {
        found->second.unansweredWork = std::max(microseconds(0), found->second.unansweredWork - work);
    }
}

void ServerLoads::pause(BackendServerId id, Core::TimePoint until)
{
    m_loads[id].pausedUntil = until;
}

void ServerLoads::markRestarted(BackendServerId id, std::uint64_t incarnation)
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

// The queue drains while no report arrives, so the reported work is reduced by the age of the report. Once the report has expired, only
// this router's own work counts.
microseconds ServerLoads::expectedWait(BackendServerId id, Core::TimePoint now) const
{
    const Load *load = find(id);
    if (load == nullptr) {
        return microseconds(0);
    }
    const microseconds remaining = load->report.queuedWork - duration_cast<microseconds>(now - load->reportedAt);
    const microseconds reported = now < load->validUntil ? std::max(microseconds(0), remaining) : microseconds(0);
    return reported + load->unansweredWork;
}

microseconds ServerLoads::unansweredWork(BackendServerId id) const
{
    const Load *load = find(id);
    return load == nullptr ? microseconds(0) : load->unansweredWork;
}

microseconds ServerLoads::prefillPerPiece(BackendServerId id, microseconds defaultCost) const
{
    const Load *load = find(id);
    return load == nullptr || load->report.prefillPerPiece == microseconds(0) ? defaultCost : load->report.prefillPerPiece;
}

bool ServerLoads::isPaused(BackendServerId id, Core::TimePoint now) const
{
    const Load *load = find(id);
    return load != nullptr && now < load->pausedUntil;
}

std::uint32_t ServerLoads::overloadLevel(BackendServerId id, Core::TimePoint now) const
{
    const Load *load = find(id);
    return load == nullptr || now >= load->reportedAt + levelLifetime ? 0 : load->report.overloadLevel;
}

std::uint64_t ServerLoads::incarnation(BackendServerId id) const
{
    const Load *load = find(id);
    return load == nullptr ? 0 : load->report.incarnation;
}

} // namespace Verbena::Decisions
