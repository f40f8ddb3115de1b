#include "placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace Verbena::Decisions {

namespace {

// More probes make the shares more even. More points per server prevent two neighbours on the ring from having all their keys in common.
constexpr std::size_t probesPerKey = 12;
constexpr std::size_t pointsPerServer = 4;

std::uint64_t pointPosition(BackendServerId id, std::size_t point)
{
    return XXH3_64bits_withSeed(&id, sizeof id, point);
}

std::uint64_t probePosition(PrefixKey key, std::size_t probe)
{
    return XXH3_64bits_withSeed(&key, sizeof key, ~std::uint64_t(probe));
}

struct Neighbour
{
    std::uint64_t distance;
    BackendServerId id;

    bool operator<(const Neighbour &other) const
    {
        return distance != other.distance ? distance < other.distance : id < other.id;
    }
};

} // namespace

Placement::Placement(std::span<const BackendServerId> pool)
    : m_members(pool.begin(), pool.end())
{
    std::sort(m_members.begin(), m_members.end());
    m_members.erase(std::unique(m_members.begin(), m_members.end()), m_members.end());
    m_ring.reserve(m_members.size() * pointsPerServer);
    for (const BackendServerId id : m_members) {
        for (std::size_t point = 0; point < pointsPerServer; ++point) {
            m_ring.push_back({pointPosition(id, point), id});
        }
    }
    std::sort(m_ring.begin(), m_ring.end(), [](const Point &left, const Point &right) {
        return left.position != right.position ? left.position < right.position : left.id < right.id;
    });
}

// Positions are hashes and so evenly distributed: the index of a position can be estimated to within a few steps.
std::size_t Placement::firstPointAt(std::uint64_t position) const
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

std::vector<BackendServerId> Placement::nearest(PrefixKey key, std::size_t count) const
{
    std::vector<BackendServerId> result;
    const std::size_t wanted = std::min(count, m_members.size());
    if (wanted == 0) {
        return result;
    }
    std::array<std::uint64_t, probesPerKey> probes{};
    std::array<std::size_t, probesPerKey> nextPoints{};
    for (std::size_t probe = 0; probe < probesPerKey; ++probe) {
        probes[probe] = probePosition(key, probe);
        nextPoints[probe] = firstPointAt(probes[probe]);
    }
    result.reserve(wanted);
    // In as many steps each probe has passed every point.
    const std::size_t maximumSteps = m_ring.size() * probesPerKey;
    for (std::size_t step = 0; step < maximumSteps && result.size() < wanted; ++step) {
        std::size_t nearestProbe = 0;
        Neighbour best{~std::uint64_t{0}, BackendServerId(~std::uint64_t{0})};
        for (std::size_t probe = 0; probe < probesPerKey; ++probe) {
            const Point &point = m_ring[nextPoints[probe]];
            const Neighbour neighbour{point.position - probes[probe], point.id};
            if (neighbour < best) {
                best = neighbour;
                nearestProbe = probe;
            }
        }
        nextPoints[nearestProbe] = nextPoints[nearestProbe] + 1 == m_ring.size() ? 0 : nextPoints[nearestProbe] + 1;
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
    for (std::size_t probe = 0; probe < probesPerKey; ++probe) {
        for (std::size_t point = 0; point < pointsPerServer; ++point) {
            nearest = std::min(nearest, pointPosition(id, point) - probePosition(key, probe));
        }
    }
    return nearest;
}

} // namespace Verbena::Decisions
