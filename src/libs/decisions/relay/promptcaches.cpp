#include "promptcaches.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Time from sending a request until a report includes its parts: cache events lag, and agents poll and report in turn.
constexpr std::chrono::milliseconds reportDelay{900};

// Number of remembered sent parts above which the expired ones are removed.
constexpr std::size_t maxSentParts = 4096;

} // namespace

void PromptCaches::updateReport(BackendServerId id, const std::optional<std::vector<PartKey>> &parts, Core::TimePoint deadline)
{
    Engine &engine = m_engines[id];
    engine.deadline = deadline;
    if (parts.has_value()) {
        engine.parts = {parts->begin(), parts->end()};
    }
}

void PromptCaches::recordSent(BackendServerId id, const std::vector<SharedPart> &parts, Core::TimePoint now)
{
    if (m_sent.size() > maxSentParts) {
        std::erase_if(m_sent, [now](const auto &entry) { return now >= entry.second.deadline; });
    }
    for (const SharedPart &part : parts) {
        m_sent[part.key] = {id, now + reportDelay};
    }
}

void PromptCaches::handleRestart(BackendServerId id)
{
    m_engines.erase(id);
    std::erase_if(m_sent, [id](const auto &entry) { return entry.second.id == id; });
}

void PromptCaches::removeIf(const std::function<bool(BackendServerId)> &isGone)
{
    std::erase_if(m_engines, [&isGone](const auto &entry) { return isGone(entry.first); });
}

CacheStores &PromptCaches::stores()
{
    return m_stores;
}

const CacheStores &PromptCaches::stores() const
{
    return m_stores;
}

bool PromptCaches::isCached(const Engine &engine, BackendServerId id, PartKey part, Core::TimePoint now) const
{
    if (engine.parts.contains(part)) {
        return true;
    }
    const auto sent = m_sent.find(part);
    return sent != m_sent.end() && sent->second.id == id && now < sent->second.deadline;
}

std::optional<std::uint32_t> PromptCaches::warmParts(BackendServerId id, const std::vector<SharedPart> &parts, Core::TimePoint now) const
{
    const auto engine = m_engines.find(id);
    if (engine == m_engines.end() || now >= engine->second.deadline) {
        return std::nullopt;
    }
    const auto missing = std::find_if(parts.begin(), parts.end(), [&](const SharedPart &part) { return !isCached(engine->second, id, part.key, now); });
    return static_cast<std::uint32_t>(missing - parts.begin());
}

std::uint32_t PromptCaches::storedParts(const CacheStore *store, const std::vector<SharedPart> &parts)
{
    if (store == nullptr) {
        return 0;
    }
    const auto missing = std::find_if(parts.begin(), parts.end(), [store](const SharedPart &part) { return !store->index->contains(part.key); });
    return static_cast<std::uint32_t>(missing - parts.begin());
}

std::uint32_t PromptCaches::warmPartsAnywhere(const CacheStore *store, const std::vector<SharedPart> &parts, Core::TimePoint now) const
{
    const std::uint32_t stored = storedParts(store, parts);
    const std::optional<BackendServerId> engine = holder(parts, stored, now);
    return engine.has_value() ? *warmParts(*engine, parts, now) : stored;
}

std::optional<BackendServerId> PromptCaches::holder(const std::vector<SharedPart> &parts, std::uint32_t minimum, Core::TimePoint now) const
{
    std::uint32_t most = minimum;
    std::optional<BackendServerId> best;
    for (const auto &[id, engine] : m_engines) {
        if (most == parts.size()) {
            break;
        }
        const std::uint32_t warm = warmParts(id, parts, now).value_or(0);
        if (warm > most) {
            most = warm;
            best = id;
        }
    }
    return best;
}

} // namespace Verbena::Decisions
