#include "rejectedentries.h"

namespace Verbena::Relay {

namespace {

// Maximum number of entries, so that a writer of more invalid ones cannot fill the memory and the log.
constexpr std::size_t maximumEntries = 256;

} // namespace

bool RejectedEntries::record(const std::string &id, const std::string &reason)
{
    const auto entry = m_reasons.find(id);
    if (entry != m_reasons.end()) {
        const bool isNewReason = entry->second != reason;
        entry->second = reason;
        return isNewReason;
    }
    if (m_reasons.size() >= maximumEntries) {
        return false;
    }
    m_reasons.emplace(id, reason);
    return true;
}

void RejectedEntries::remove(const std::string &id)
{
    m_reasons.erase(id);
}

} // namespace Verbena::Relay
