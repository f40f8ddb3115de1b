#include "refusedentries.h"

namespace Verbena::Relay {

namespace {

// Entries that are remembered; who writes more unreadable ones than that would else fill the memory and the log.
constexpr std::size_t mostRemembered = 256;

} // namespace

bool RefusedEntries::isNews(const std::string &id, const std::string &reason)
{
    const auto known = m_reasons.find(id);
    if (known != m_reasons.end()) {
        const bool isOther = known->second != reason;
        known->second = reason;
        return isOther;
    }
    if (m_reasons.size() >= mostRemembered) {
        return false;
    }
    m_reasons.emplace(id, reason);
    return true;
}

void RefusedEntries::forget(const std::string &id)
{
    m_reasons.erase(id);
}

} // namespace Verbena::Relay
