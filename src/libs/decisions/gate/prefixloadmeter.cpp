#include "prefixloadmeter.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

namespace {

double seconds(Core::Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

PrefixLoadMeter::PrefixLoadMeter(const PrefixLoadOptions &options)
    : m_options(options)
{
}

void PrefixLoadMeter::recordDemand(const std::vector<PrefixKey> &keys, std::chrono::microseconds work, Core::TimePoint now)
{
    if (!m_start) {
        m_start = now;
    }
    const std::size_t levels = std::min(keys.size(), m_options.maximumDepth);
    for (std::size_t level = 0; level < levels; ++level) {
        PrefixLoad &prefix = findOrCreate(keys[level], now);
        prefix.work = decayedWork(prefix, now) + seconds(work);
        prefix.updatedAt = now;
        // All prefixes decay at the same rate, so their order by log(work) + age/window is the same at any time.
        m_byLoad.erase(prefix.rank);
        prefix.rank = m_byLoad.emplace(std::log(std::max(prefix.work, 1e-9)) + seconds(now - *m_start) / seconds(m_options.window), keys[level]);
        adjustWidth(prefix, now);
    }
}

std::optional<HotPrefixHint> PrefixLoadMeter::hint(const std::vector<PrefixKey> &keys) const
{
    std::optional<HotPrefixHint> result;
    for (const PrefixKey key : keys) {
        const auto found = m_loads.find(key);
        if (found == m_loads.end()) {
            break;
        }
        if (found->second.width > 1) {
            result = HotPrefixHint{key, found->second.width};
        }
    }
    return result;
}

double PrefixLoadMeter::load(PrefixKey key, Core::TimePoint now) const
{
    const auto found = m_loads.find(key);
    return found == m_loads.end() ? 0.0 : decayedWork(found->second, now) / seconds(m_options.window);
}

std::size_t PrefixLoadMeter::size() const
{
    return m_loads.size();
}

double PrefixLoadMeter::decayedWork(const PrefixLoad &prefix, Core::TimePoint now) const
{
    return prefix.work * std::exp(-seconds(now - prefix.updatedAt) / seconds(m_options.window));
}

// When the meter is full, the prefix with the least load is evicted. A new prefix starts at zero and does not inherit the
// load of the evicted one, so that a prefix with little load is never reported as hot.
PrefixLoadMeter::PrefixLoad &PrefixLoadMeter::findOrCreate(PrefixKey key, Core::TimePoint now)
{
    const auto found = m_loads.find(key);
    if (found != m_loads.end()) {
        return found->second;
    }
    if (m_loads.size() >= m_options.maximumKeys) {
        m_loads.erase(m_byLoad.begin()->second);
        m_byLoad.erase(m_byLoad.begin());
    }
    PrefixLoad &prefix = m_loads[key];
    prefix.updatedAt = now;
    prefix.nextChangeAt = now;
    prefix.rank = m_byLoad.emplace(0.0, key);
    return prefix;
}

void PrefixLoadMeter::adjustWidth(PrefixLoad &prefix, Core::TimePoint now) const
{
    if (now < prefix.nextChangeAt) {
        return;
    }
    const double load = prefix.work / seconds(m_options.window);
    if (load > m_options.highLoad && prefix.width < m_options.maximumWidth) {
        prefix.width = std::min(prefix.width * 2, m_options.maximumWidth);
        prefix.nextChangeAt = now + m_options.minimumChangeInterval;
    } else if (load < m_options.lowLoad && prefix.width > 1) {
        --prefix.width;
        prefix.nextChangeAt = now + m_options.minimumChangeInterval;
    }
}

} // namespace Verbena::Decisions
