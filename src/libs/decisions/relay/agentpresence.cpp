#include "agentpresence.h"

#include "enginereports.h"

namespace Verbena::Decisions {

namespace {

// Time from when an agent falls silent until its engine gets its orders from elsewhere: an agent that is restarted is back within a second.
constexpr std::chrono::milliseconds agentTimeout{1500};

} // namespace

void AgentPresence::recordReport(const std::string &address, Core::TimePoint now)
{
    m_presentUntil[address] = now + EngineReports::lifetime;
}

bool AgentPresence::isPresent(const std::string &address, Core::TimePoint now) const
{
    const auto present = m_presentUntil.find(address);
    return present != m_presentUntil.end() && now < present->second;
}

std::optional<Core::TimePoint> AgentPresence::orphanedSince(BackendServerId id, const std::string &address, Core::TimePoint now)
{
    if (isPresent(address, now)) {
        m_absentSince.erase(id);
        return std::nullopt;
    }
    const Core::TimePoint since = m_absentSince.try_emplace(id, now).first->second;
    return now >= since + agentTimeout ? std::optional(since) : std::nullopt;
}

void AgentPresence::removeIf(const std::function<bool(const std::string &)> &isUnusedAddress, const std::function<bool(BackendServerId)> &isGone)
{
    std::erase_if(m_presentUntil, [&](const auto &entry) { return isUnusedAddress(entry.first); });
    std::erase_if(m_absentSince, [&](const auto &entry) { return isGone(entry.first); });
}

} // namespace Verbena::Decisions
