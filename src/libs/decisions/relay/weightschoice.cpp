#include "weightschoice.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Older announcements would matter only if a version were still in use after this many newer ones.
constexpr std::size_t maxAnnouncements = 32;

// Factor by which the share of requests of newer weights exceeds their share of the backend servers, which run at less than half of their capacity on most
// days.
constexpr double newerPreference = 1.5;

// Time from the choice until the engine starts the request: network latency, and a few long prompts that other routers send to it at the same time. An engine
// that comes back with old weights while others are busy gets as many at once.
constexpr std::chrono::milliseconds startMargin{1200};

constexpr std::uint64_t randomScale = 1'000'000;

bool mayBeUsed(std::uint64_t version, const WeightsHistory &history, const WeightsLimits &limits, Core::TimePoint now)
{
    const std::optional<Core::TimePoint> until = latestStart(version, history, limits);
    return !until.has_value() || now < *until - startMargin;
}

} // namespace

// The time must be that of the announcement, not of its receipt. Otherwise a process that starts late would grant old weights their full time again.
bool WeightsHistory::record(std::uint64_t version, Core::TimePoint at)
{
    const bool isNewer = version > newest();
    const auto isBelow = [](const Announcement &announcement, std::uint64_t one) {
        return announcement.version < one;
    };
    const auto place = std::lower_bound(m_announcements.begin(), m_announcements.end(), version, isBelow);
    if (place != m_announcements.end() && place->version == version) {
        place->at = at;
        return false;
    }
    m_announcements.insert(place, {version, at});
    if (m_announcements.size() > maxAnnouncements) {
        m_announcements.erase(m_announcements.begin());
    }
    return isNewer;
}

bool WeightsHistory::withdrawAbove(std::uint64_t version)
{
    return std::erase_if(m_announcements, [version](const Announcement &announcement) { return announcement.version > version; }) > 0;
}

std::uint64_t WeightsHistory::newest() const
{
    return m_announcements.empty() ? 0 : m_announcements.back().version;
}

Core::TimePoint WeightsHistory::newestAnnouncedAt() const
{
    return m_announcements.empty() ? Core::TimePoint() : m_announcements.back().at;
}

std::optional<Core::TimePoint> WeightsHistory::outdatedSince(std::uint64_t version) const
{
    const auto newer
        = std::find_if(m_announcements.begin(), m_announcements.end(), [version](const Announcement &announcement) { return announcement.version > version; });
    return newer == m_announcements.end() ? std::nullopt : std::optional(newer->at);
}

std::optional<Core::TimePoint> latestStart(std::uint64_t version, const WeightsHistory &history, const WeightsLimits &limits)
{
    const std::optional<Core::TimePoint> since = history.outdatedSince(version);
    return since.has_value() ? std::optional(*since + limits.longestUse) : std::nullopt;
}

std::vector<std::uint64_t> usableWeights(
    const std::map<std::uint64_t, std::size_t> &servers, const WeightsHistory &history, const WeightsLimits &limits, Core::TimePoint now)
{
    std::vector<std::uint64_t> usable;
    for (auto group = servers.rbegin(); group != servers.rend(); ++group) {
        if (group->second > 0 && mayBeUsed(group->first, history, limits, now)) {
            usable.push_back(group->first);
        }
    }
    return usable;
}

std::optional<std::uint64_t> chooseWeights(const std::map<std::uint64_t, std::size_t> &servers,
    const WeightsHistory &history,
    const WeightsLimits &limits,
    Core::TimePoint now,
    std::uint64_t randomValue)
{
    const std::vector<std::uint64_t> usable = usableWeights(servers, history, limits, now);
    double left = 0;
    for (const std::uint64_t version : usable) {
        left += static_cast<double>(servers.at(version));
    }
    std::optional<std::uint64_t> chosen;
    double place = static_cast<double>(randomValue % randomScale) / static_cast<double>(randomScale);
    for (const std::uint64_t version : usable) {
        const auto count = static_cast<double>(servers.at(version));
        chosen = version;
        const double part = std::min(1.0, newerPreference * count / left);
        if (place < part) {
            break;
        }
        place = (place - part) / (1.0 - part);
        left -= count;
    }
    return chosen;
}

} // namespace Verbena::Decisions
