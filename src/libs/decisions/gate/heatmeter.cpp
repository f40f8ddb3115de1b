#include "heatmeter.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

namespace {

double seconds(Core::Clock::duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

HeatMeter::HeatMeter(const HeatOptions &options)
    : m_options(options)
{
}

void HeatMeter::noteDemand(const std::vector<PrefixKey> &keys, std::chrono::microseconds work, Core::TimePoint now)
{
    if (!m_start) {
        m_start = now;
    }
    const std::size_t levels = std::min(keys.size(), m_options.deepestLevel);
    for (std::size_t level = 0; level < levels; ++level) {
        Heat &heat = heatFor(keys[level], now);
        heat.work = decayed(heat, now) + seconds(work);
        heat.notedAt = now;
        // All decay at the same rate, so the order by log(work) + age/window holds at any moment.
        m_ranks.erase(heat.rank);
        heat.rank = m_ranks.emplace(std::log(std::max(heat.work, 1e-9)) + seconds(now - *m_start) / seconds(m_options.window), keys[level]);
        adjustWidth(heat, now);
    }
}

std::optional<HeatHint> HeatMeter::hint(const std::vector<PrefixKey> &keys) const
{
    std::optional<HeatHint> result;
    for (const PrefixKey key : keys) {
        const auto found = m_heats.find(key);
        if (found == m_heats.end()) {
            break;
        }
        if (found->second.width > 1) {
            result = HeatHint{key, found->second.width};
        }
    }
    return result;
}

double HeatMeter::load(PrefixKey key, Core::TimePoint now) const
{
    const auto found = m_heats.find(key);
    return found == m_heats.end() ? 0.0 : decayed(found->second, now) / seconds(m_options.window);
}

std::size_t HeatMeter::size() const
{
    return m_heats.size();
}

double HeatMeter::decayed(const Heat &heat, Core::TimePoint now) const
{
    return heat.work * std::exp(-seconds(now - heat.notedAt) / seconds(m_options.window));
}

// When full, the coldest prefix gives way; a newcomer starts from nothing, so that cold ones are never made to look hot.
HeatMeter::Heat &HeatMeter::heatFor(PrefixKey key, Core::TimePoint now)
{
    const auto found = m_heats.find(key);
    if (found != m_heats.end()) {
        return found->second;
    }
    if (m_heats.size() >= m_options.maximumKeys) {
        m_heats.erase(m_ranks.begin()->second);
        m_ranks.erase(m_ranks.begin());
    }
    Heat &heat = m_heats[key];
    heat.notedAt = now;
    heat.settledAt = now;
    heat.rank = m_ranks.emplace(0.0, key);
    return heat;
}

void HeatMeter::adjustWidth(Heat &heat, Core::TimePoint now) const
{
    if (now < heat.settledAt) {
        return;
    }
    const double load = heat.work / seconds(m_options.window);
    if (load > m_options.highLoad && heat.width < m_options.maximumWidth) {
        heat.width = std::min(heat.width * 2, m_options.maximumWidth);
        heat.settledAt = now + m_options.settleTime;
    } else if (load < m_options.lowLoad && heat.width > 1) {
        --heat.width;
        heat.settledAt = now + m_options.settleTime;
    }
}

} // namespace Verbena::Decisions
