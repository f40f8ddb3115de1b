#include "routercensus.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Two windows of the resend budget, the longest span for which anything is shared out among routers.
constexpr std::chrono::seconds memory{20};

} // namespace

RouterCensus::RouterCensus(std::uint32_t assumed)
    : m_assumed(assumed)
{
}

void RouterCensus::note(const std::string &address, Core::TimePoint now)
{
    m_deadlines[address] = now + memory;
}

std::uint32_t RouterCensus::count(Core::TimePoint now)
{
    std::erase_if(m_deadlines, [now](const auto &entry) { return now >= entry.second; });
    return m_deadlines.empty() ? m_assumed : static_cast<std::uint32_t>(m_deadlines.size());
}

} // namespace Verbena::Decisions
