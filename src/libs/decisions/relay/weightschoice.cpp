#include "weightschoice.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// More would only matter if a version were still in use after so many newer ones.
constexpr std::size_t rememberedVersions = 32;

// How much more than its part a newer group gets: backend servers run at less than half of what they can bear on most days.
constexpr double newerPreference = 1.5;

// From the choice until the engine begins: the way, and a few long prompts that other routers send there in the same moment. An engine that comes back with
// old weights while others are busy gets as many at once.
constexpr std::chrono::milliseconds useMargin{1200};

constexpr std::uint64_t drawScale = 1'000'000;

bool mayBeUsed(std::uint64_t version, const WeightsHistory &history, const WeightsLimits &limits, Core::TimePoint now)
{
    const std::optional<Core::TimePoint> until = begunUntil(version, history, limits);
    return !until.has_value() || now < *until - useMargin;
}

} // namespace

// The moment is that of the naming and not of the news, or a process that starts late would grant old weights all their time once more.
bool WeightsHistory::note(std::uint64_t version, Core::TimePoint at)
{
    const bool isNews = version > newest();
    const auto isBelow = [](const Named &named, std::uint64_t one) {
        return named.version < one;
    };
    const auto place = std::lower_bound(m_named.begin(), m_named.end(), version, isBelow);
    if (place != m_named.end() && place->version == version) {
        place->at = at;
        return false;
    }
    m_named.insert(place, {version, at});
    if (m_named.size() > rememberedVersions) {
        m_named.erase(m_named.begin());
    }
    return isNews;
}

std::uint64_t WeightsHistory::newest() const
{
    return m_named.empty() ? 0 : m_named.back().version;
}

Core::TimePoint WeightsHistory::newestSince() const
{
    return m_named.empty() ? Core::TimePoint() : m_named.back().at;
}

std::optional<Core::TimePoint> WeightsHistory::outdatedSince(std::uint64_t version) const
{
    const auto newer = std::find_if(m_named.begin(), m_named.end(), [version](const Named &named) { return named.version > version; });
    return newer == m_named.end() ? std::nullopt : std::optional(newer->at);
}

std::optional<Core::TimePoint> begunUntil(std::uint64_t version, const WeightsHistory &history, const WeightsLimits &limits)
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

std::optional<std::uint64_t> chooseWeights(
    const std::map<std::uint64_t, std::size_t> &servers, const WeightsHistory &history, const WeightsLimits &limits, Core::TimePoint now, std::uint64_t draw)
{
    const std::vector<std::uint64_t> usable = usableWeights(servers, history, limits, now);
    double left = 0;
    for (const std::uint64_t version : usable) {
        left += static_cast<double>(servers.at(version));
    }
    std::optional<std::uint64_t> chosen;
    double place = static_cast<double>(draw % drawScale) / static_cast<double>(drawScale);
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
