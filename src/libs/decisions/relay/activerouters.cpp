#include "activerouters.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Verbena::Decisions {

namespace {

// Two windows of the resend budget, whose window is the longest of all limits that routers share.
constexpr std::chrono::seconds retention{20};

// More than the target has. Bounds the memory for addresses from packets of any sender.
constexpr std::size_t maximumRouters = 4096;

} // namespace

ActiveRouters::ActiveRouters(std::uint32_t assumed)
    : m_assumed(assumed)
{
}

void ActiveRouters::record(const std::string &address, Core::TimePoint now)
{
    if (m_deadlines.size() < maximumRouters || m_deadlines.contains(address)) {
        m_deadlines[address] = now + retention;
    }
}

std::uint32_t ActiveRouters::count(Core::TimePoint now)
{
    std::erase_if(m_deadlines, [now](const auto &entry) { return now >= entry.second; });
    return m_deadlines.empty() ? m_assumed : static_cast<std::uint32_t>(m_deadlines.size());
}

bool ActiveRouters::hasRouters() const
{
    return !m_deadlines.empty();
}

std::vector<std::string> ActiveRouters::elected(std::size_t limit) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &[address, deadline] : m_deadlines) {
        ranked.emplace_back(XXH3_64bits(address.data(), address.size()), address);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> selected;
    for (std::size_t rank = 0; rank < std::min(limit, ranked.size()); ++rank) {
        selected.push_back(ranked[rank].second);
    }
    return selected;
}

std::vector<std::string> ActiveRouters::addresses() const
{
    std::vector<std::string> addresses;
    addresses.reserve(m_deadlines.size());
    for (const auto &[address, deadline] : m_deadlines) {
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace Verbena::Decisions
