#include "randomsource.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

RandomSource::RandomSource(std::uint64_t seed)
    : m_state(seed)
{
}

std::uint64_t RandomSource::next()
{
    // SplitMix64: its state is small, and its quality is sufficient for spreading load.
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = m_state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

double RandomSource::uniform()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

double RandomSource::exponential()
{
    return -std::log1p(-uniform());
}

std::vector<std::string> RandomSource::sample(std::span<const std::string> all, std::size_t count)
{
    // Floyd's algorithm: the cost depends on the size of the sample, not on the number of members.
    std::vector<std::size_t> chosen;
    const std::size_t sampleSize = std::min(count, all.size());
    for (std::size_t last = all.size() - sampleSize; last < all.size(); ++last) {
        const std::size_t candidate = next() % (last + 1);
        chosen.push_back(std::find(chosen.begin(), chosen.end(), candidate) == chosen.end() ? candidate : last);
    }
    std::vector<std::string> members;
    members.reserve(chosen.size());
    for (const std::size_t index : chosen) {
        members.push_back(all[index]);
    }
    return members;
}

} // namespace Verbena::Decisions
