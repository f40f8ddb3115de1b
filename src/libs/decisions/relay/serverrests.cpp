#include "serverrests.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// A server that asks for more is asked again after this time, as it may have meant something else.
constexpr std::chrono::hours longestRest{1};

} // namespace

// Several calls may be under way when a server first asks for rest; none of their refusals makes it shorter.
bool ServerRests::record(const std::string &serverId, std::uint64_t incarnation, Core::TimePoint until, Core::TimePoint now)
{
    Rest &rest = m_rests[serverId];
    const bool isNew = now >= rest.until;
    rest.incarnation = incarnation;
    rest.until = std::max(rest.until, std::min<Core::TimePoint>(until, now + longestRest));
    return isNew;
}

std::vector<std::string> ServerRests::resting(Core::TimePoint now)
{
    std::erase_if(m_rests, [now](const auto &rest) { return now >= rest.second.until; });
    std::vector<std::string> ids;
    for (const auto &[serverId, rest] : m_rests) {
        ids.push_back(serverId);
    }
    return ids;
}

std::optional<Core::TimePoint> ServerRests::end(const std::string &serverId, Core::TimePoint now) const
{
    const auto rest = m_rests.find(serverId);
    return rest == m_rests.end() || now >= rest->second.until ? std::nullopt : std::optional(rest->second.until);
}

void ServerRests::updateIncarnation(const std::string &serverId, std::uint64_t incarnation)
{
    const auto rest = m_rests.find(serverId);
    if (rest != m_rests.end() && incarnation != 0 && rest->second.incarnation != 0 && rest->second.incarnation != incarnation) {
        m_rests.erase(rest);
    }
}

} // namespace Verbena::Decisions
