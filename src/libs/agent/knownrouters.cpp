#include "knownrouters.h"

namespace Verbena::Agent {

namespace {

constexpr std::size_t maximumRouters = 16384;

} // namespace

bool KnownRouters::noteHeard(const std::string &peer, Core::TimePoint now)
{
    const auto found = m_lastHeard.find(peer);
    if (found != m_lastHeard.end()) {
        found->second = now;
        return false;
    }
    if (m_lastHeard.size() >= maximumRouters) {
        return false;
    }
    m_lastHeard.emplace(peer, now);
    m_all.push_back(peer);
    return true;
}

void KnownRouters::forget(const std::string &peer)
{
    if (m_lastHeard.erase(peer) > 0) {
        std::erase(m_all, peer);
    }
}

void KnownRouters::forgetSilent(Core::TimePoint moment)
{
    if (std::erase_if(m_lastHeard, [moment](const auto &entry) { return entry.second < moment; }) > 0) {
        std::erase_if(m_all, [this](const std::string &peer) { return !m_lastHeard.contains(peer); });
    }
}

const std::vector<std::string> &KnownRouters::all() const
{
    return m_all;
}

std::size_t KnownRouters::size() const
{
    return m_all.size();
}

} // namespace Verbena::Agent
