#include "serverlimits.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::milliseconds;

namespace {

// Time for which a limit that no answer confirms is kept. By then every router that has requests for the server was allowed one.
constexpr std::chrono::minutes limitLifetime{5};

// Time for which the end of a limit is kept, so that older news do not begin it again.
constexpr std::chrono::seconds endRetention{15};

// Time after an answer for which its limit counts as named lately.
constexpr std::chrono::seconds recentAnswerTime{15};

// Time for which other routers are told of an answer, so that all learn of it although datagrams are lost.
constexpr std::chrono::seconds tellingTime{3};

// Minimum interval between two logged numbers of one server, which may name another one with each answer.
constexpr std::chrono::seconds reportInterval{1};

// Part of the number told last, below which other routers are told without delay.
constexpr double urgentPart = 0.5;

// More than the servers of a region of the target. Bounds the memory for ids from packets of any sender.
constexpr std::size_t maximumEntries = 4096;

std::uint64_t score(const std::string &serverId, const std::string &router)
{
    return XXH64(router.data(), router.size(), XXH64(serverId.data(), serverId.size(), 0));
}

} // namespace

void ServerLimits::setObserver(std::function<void()> observer)
{
    m_observer = std::move(observer);
}

void ServerLimits::setAssumedRouters(std::uint32_t count)
{
    m_assumedRouters = count;
}

void ServerLimits::setRouters(const std::string &self, const std::vector<std::string> &addresses)
{
    std::vector<std::string> routers = addresses;
    if (std::find(routers.begin(), routers.end(), self) == routers.end()) {
        routers.push_back(self);
    }
    std::sort(routers.begin(), routers.end());
    if (m_self == self && m_routers == routers) {
        return;
    }
    m_self = self;
    m_routers = std::move(routers);
    for (auto &[serverId, entry] : m_entries) {
        updateRank(serverId, entry);
    }
}

// An answer without a limit ends one only if its request was sent after the limit was observed: the server may have begun to answer before it named one.
bool ServerLimits::handleAnswer(
    const std::string &serverId, std::uint64_t incarnation, const std::optional<double> &perSecond, Core::TimePoint sentAt, Core::TimePoint now)
{
    const Entry *known = find(serverId);
    const bool isLimited = known != nullptr && known->perSecond.has_value();
    if (!perSecond.has_value() && (!isLimited || sentAt <= known->observedAt)) {
        return false;
    }
    const Change change = update({serverId, incarnation, perSecond}, now, now);
    Entry &entry = m_entries.at(serverId);
    const bool isTold = now < entry.toldUntil;
    const bool hasDropped = change == Change::Number && *perSecond < urgentPart * entry.toldPerSecond.value_or(*perSecond);
    entry.toldUntil = now + tellingTime;
    if ((change == Change::BeginOrEnd || hasDropped || !isTold) && m_observer) {
        m_observer();
    }
    return takeReport(serverId, change, now);
}

bool ServerLimits::handleNews(const ServerLimitNews &news, Core::TimePoint now)
{
    if (m_entries.size() >= maximumEntries && find(news.serverId) == nullptr) {
        evictExpired(now);
        if (m_entries.size() >= maximumEntries) {
            return false;
        }
    }
    return takeReport(news.serverId, update(news, now - news.age, now), now);
}

// A router that started lately does not know the incarnation yet; its news are of the one that is known here.
bool ServerLimits::isOtherIncarnation(const Entry &entry, std::uint64_t incarnation)
{
    return entry.incarnation != 0 && incarnation != 0 && entry.incarnation != incarnation;
}

ServerLimits::Change ServerLimits::update(const ServerLimitNews &news, Core::TimePoint observedAt, Core::TimePoint now)
{
    evictExpired(now);
    Entry *known = find(news.serverId);
    if (known != nullptr && observedAt <= known->observedAt) {
        return Change::None;
    }
    if (known != nullptr && !isOtherIncarnation(*known, news.incarnation) && known->perSecond.has_value() == news.perSecond.has_value()) {
        const bool isSame = known->perSecond == news.perSecond;
        known->observedAt = observedAt;
        known->incarnation = news.incarnation != 0 ? news.incarnation : known->incarnation;
        known->perSecond = news.perSecond;
        known->share.setLimit(news.perSecond.value_or(0));
        return isSame ? Change::None : Change::Number;
    }
    const bool isKnown = known != nullptr;
    Entry entry{news.incarnation, news.perSecond, observedAt, LimitShare(now)};
    entry.share.setLimit(news.perSecond.value_or(0));
    updateRank(news.serverId, entry);
    m_entries.insert_or_assign(news.serverId, entry);
    return isKnown || news.perSecond.has_value() ? Change::BeginOrEnd : Change::None;
}

bool ServerLimits::takeReport(const std::string &serverId, Change change, Core::TimePoint now)
{
    Entry *entry = find(serverId);
    if (entry == nullptr || change == Change::None || (change == Change::Number && now < entry->nextReport)) {
        return false;
    }
    entry->nextReport = now + reportInterval;
    return true;
}

ServerLimits::Entry *ServerLimits::find(const std::string &serverId)
{
    const auto found = m_entries.find(serverId);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::optional<double> ServerLimits::limit(const std::string &serverId) const
{
    const auto found = m_entries.find(serverId);
    return found == m_entries.end() ? std::nullopt : found->second.perSecond;
}

void ServerLimits::evictExpired(Core::TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        const Entry &entry = item.second;
        return now >= entry.observedAt + (entry.perSecond.has_value() ? std::chrono::seconds(limitLifetime) : endRetention);
    });
}

void ServerLimits::updateRank(const std::string &serverId, Entry &entry) const
{
    if (m_routers.empty()) {
        entry.share.setAssumedRouters(m_assumedRouters);
        return;
    }
    const std::uint64_t own = score(serverId, m_self);
    const auto ahead = std::count_if(
        m_routers.begin(), m_routers.end(), [&](const std::string &router) { return std::pair(score(serverId, router), router) > std::pair(own, m_self); });
    entry.share.setRank(static_cast<std::uint32_t>(ahead), static_cast<std::uint32_t>(m_routers.size()));
}

std::vector<std::string> ServerLimits::exhausted(Core::TimePoint now)
{
    evictExpired(now);
    std::vector<std::string> ids;
    for (auto &[serverId, entry] : m_entries) {
        if (entry.perSecond.has_value() && entry.share.nextSend(entry.observedAt, now) != now) {
            ids.push_back(serverId);
        }
    }
    return ids;
}

std::optional<Core::TimePoint> ServerLimits::nextSend(const std::string &serverId, Core::TimePoint now)
{
    Entry *entry = find(serverId);
    return entry == nullptr || !entry->perSecond.has_value() ? now : entry->share.nextSend(entry->observedAt, now);
}

void ServerLimits::recordSent(const std::string &serverId, Core::TimePoint now)
{
    Entry *entry = find(serverId);
    if (entry != nullptr && entry->perSecond.has_value()) {
        entry->share.recordSent(now);
    }
}

std::vector<ServerLimitNews> ServerLimits::newsToTell(Core::TimePoint now)
{
    evictExpired(now);
    std::vector<ServerLimitNews> news;
    for (auto &[serverId, entry] : m_entries) {
        if (now < entry.toldUntil) {
            entry.toldPerSecond = entry.perSecond;
            news.push_back({serverId, entry.incarnation, entry.perSecond, std::chrono::duration_cast<milliseconds>(now - entry.observedAt)});
        }
    }
    return news;
}

std::size_t ServerLimits::limitedCount(Core::TimePoint now)
{
    evictExpired(now);
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [now](const auto &item) {
        return item.second.perSecond.has_value() && now < item.second.observedAt + recentAnswerTime;
    }));
}

void ServerLimits::updateIncarnation(const std::string &serverId, std::uint64_t incarnation)
{
    Entry *entry = find(serverId);
    if (entry == nullptr || incarnation == 0) {
        return;
    }
    if (isOtherIncarnation(*entry, incarnation)) {
        m_entries.erase(serverId);
        return;
    }
    entry->incarnation = incarnation;
}

} // namespace Verbena::Decisions
