#include "placement.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

namespace {

struct Ranked
{
    std::uint64_t weight;
    BackendServerId id;
};

std::uint64_t weightOf(PrefixKey key, BackendServerId id)
{
    return XXH3_64bits_withSeed(&id, sizeof id, static_cast<std::uint64_t>(key));
}

} // namespace

std::vector<BackendServerId> rendezvousRanks(PrefixKey key, std::span<const BackendServerId> pool, std::size_t count)
{
    std::vector<Ranked> ranked;
    ranked.reserve(pool.size());
    for (const BackendServerId id : pool) {
        ranked.push_back({weightOf(key, id), id});
    }
    const std::size_t kept = std::min(count, ranked.size());
    const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(ranked.begin(), middle, ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.weight != right.weight ? left.weight > right.weight : left.id > right.id;
    });
    std::vector<BackendServerId> result;
    result.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        result.push_back(ranked[i].id);
    }
    return result;
}

} // namespace Verbena::Decisions
