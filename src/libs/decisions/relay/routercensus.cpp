#include "routercensus.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

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

bool RouterCensus::isAnyNamed() const
{
    return !m_deadlines.empty();
}

std::vector<std::string> RouterCensus::elected(std::size_t most) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &[address, deadline] : m_deadlines) {
        ranked.emplace_back(XXH3_64bits(address.data(), address.size()), address);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> first;
    for (std::size_t place = 0; place < std::min(most, ranked.size()); ++place) {
        first.push_back(ranked[place].second);
    }
    return first;
}

std::vector<std::string> RouterCensus::addresses() const
{
    std::vector<std::string> addresses;
    addresses.reserve(m_deadlines.size());
    for (const auto &[address, deadline] : m_deadlines) {
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace Verbena::Decisions
