#include "knownrouters.h"

namespace Verbena::Agent {

namespace {

constexpr std::size_t maximumRouters = 16384;

} // namespace

void KnownRouters::noteHeard(const std::string &peer, Core::TimePoint now)
{
    const auto found = m_lastHeard.find(peer);
    if (found != m_lastHeard.end()) {
        found->second = now;
    } else if (m_lastHeard.size() < maximumRouters) {
        m_lastHeard.emplace(peer, now);
    }
}

void KnownRouters::forget(const std::string &peer)
{
    m_lastHeard.erase(peer);
}

void KnownRouters::forgetSilent(Core::TimePoint moment)
{
    std::erase_if(m_lastHeard, [moment](const auto &entry) { return entry.second < moment; });
}

std::vector<std::string> KnownRouters::all() const
{
    std::vector<std::string> result;
    result.reserve(m_lastHeard.size());
    for (const auto &[peer, lastHeard] : m_lastHeard) {
        result.push_back(peer);
    }
    return result;
}

std::size_t KnownRouters::size() const
{
    return m_lastHeard.size();
}

} // namespace Verbena::Agent
