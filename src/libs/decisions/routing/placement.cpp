#include "placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace Verbena::Decisions {

namespace {

// More probes even out the shares, more points keep two neighbours on the ring from sharing all their keys.
constexpr std::size_t probeCount = 12;
constexpr std::size_t pointCount = 4;

std::uint64_t pointPosition(BackendServerId id, std::size_t point)
{
    return XXH3_64bits_withSeed(&id, sizeof id, point);
}

std::uint64_t probePosition(PrefixKey key, std::size_t probe)
{
    return XXH3_64bits_withSeed(&key, sizeof key, ~std::uint64_t(probe));
}

struct Ranked
{
    std::uint64_t distance;
    BackendServerId id;

    bool operator<(const Ranked &other) const
    {
        return distance != other.distance ? distance < other.distance : id < other.id;
    }
};

} // namespace

Placement::Placement(std::span<const BackendServerId> pool)
    : m_members(pool.begin(), pool.end())
{
    std::sort(m_members.begin(), m_members.end());
    m_ring.reserve(m_members.size() * pointCount);
    for (const BackendServerId id : m_members) {
        for (std::size_t point = 0; point < pointCount; ++point) {
            m_ring.push_back({pointPosition(id, point), id});
        }
    }
    std::sort(m_ring.begin(), m_ring.end(), [](const Point &left, const Point &right) {
        return left.position != right.position ? left.position < right.position : left.id < right.id;
    });
}

// Positions are hashes, so the place of one in the ring can be guessed to within a few steps.
std::size_t Placement::firstFrom(std::uint64_t position) const
{
    const std::size_t size = m_ring.size();
    std::size_t index = ((position >> 32) * size) >> 32;
    while (index < size && m_ring[index].position < position) {
        ++index;
    }
    while (index > 0 && m_ring[index - 1].position >= position) {
        --index;
    }
    return index == size ? 0 : index;
}

std::vector<BackendServerId> Placement::ranks(PrefixKey key, std::size_t count) const
{
    std::vector<BackendServerId> result;
    const std::size_t wanted = std::min(count, m_members.size());
    if (wanted == 0) {
        return result;
    }
    std::array<std::uint64_t, probeCount> probes{};
    std::array<std::size_t, probeCount> nexts{};
    for (std::size_t probe = 0; probe < probeCount; ++probe) {
        probes[probe] = probePosition(key, probe);
        nexts[probe] = firstFrom(probes[probe]);
    }
    result.reserve(wanted);
    while (result.size() < wanted) {
        std::size_t nearest = 0;
        Ranked best{~std::uint64_t{0}, BackendServerId(~std::uint64_t{0})};
        for (std::size_t probe = 0; probe < probeCount; ++probe) {
            const Point &point = m_ring[nexts[probe]];
            const Ranked ranked{point.position - probes[probe], point.id};
            if (ranked < best) {
                best = ranked;
                nearest = probe;
            }
        }
        nexts[nearest] = nexts[nearest] + 1 == m_ring.size() ? 0 : nexts[nearest] + 1;
        if (std::find(result.begin(), result.end(), best.id) == result.end()) {
            result.push_back(best.id);
        }
    }
    return result;
}

const std::vector<BackendServerId> &Placement::members() const
{
    return m_members;
}

std::uint64_t Placement::distance(PrefixKey key, BackendServerId id)
{
    std::uint64_t nearest = ~std::uint64_t{0};
    for (std::size_t probe = 0; probe < probeCount; ++probe) {
        for (std::size_t point = 0; point < pointCount; ++point) {
            nearest = std::min(nearest, pointPosition(id, point) - probePosition(key, probe));
        }
    }
    return nearest;
}

} // namespace Verbena::Decisions
