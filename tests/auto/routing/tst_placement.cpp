#include <decisions/routing/placement.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace Verbena::Decisions;

namespace {

std::vector<BackendServerId> poolOf(const std::set<std::uint64_t> &ids)
{
    std::vector<BackendServerId> pool;
    pool.reserve(ids.size());
    for (const std::uint64_t id : ids) {
        pool.push_back(BackendServerId(id));
    }
    return pool;
}

// Reference implementation: sorts all members by their distance.
std::vector<BackendServerId> sortedByDistance(PrefixKey key, std::vector<BackendServerId> pool)
{
    std::sort(pool.begin(), pool.end(), [key](BackendServerId left, BackendServerId right) {
        return std::pair(Placement::distance(key, left), left) < std::pair(Placement::distance(key, right), right);
    });
    return pool;
}

} // namespace

TEST(Placement, OrdersByDistance)
{
    EXPECT_TRUE(rc::check("the order is that of a full sort", [](const std::set<std::uint64_t> &ids, std::uint64_t key) {
        const std::vector<BackendServerId> pool = poolOf(ids);
        RC_ASSERT(Placement(pool).nearest(PrefixKey(key), pool.size()) == sortedByDistance(PrefixKey(key), pool));
    }));
}

// The search for as many different servers as the pool had entries did not end.
TEST(Placement, ServersThatAreNamedTwiceAreSearchedForWithoutEnd)
{
    EXPECT_TRUE(rc::check("doubled entries change nothing", [](const std::set<std::uint64_t> &ids, std::uint64_t key) {
        const std::vector<BackendServerId> pool = poolOf(ids);
        std::vector<BackendServerId> doubled = pool;
        doubled.insert(doubled.end(), pool.begin(), pool.end());
        RC_ASSERT(Placement(doubled).members() == pool);
        RC_ASSERT(Placement(doubled).nearest(PrefixKey(key), doubled.size()) == Placement(pool).nearest(PrefixKey(key), pool.size()));
    }));
}

TEST(Placement, LossOfAServerMovesOnlyItsKeys)
{
    EXPECT_TRUE(rc::check("the other backend servers keep their order", [](std::set<std::uint64_t> ids, std::uint64_t key) {
        RC_PRE(!ids.empty());
        std::vector<BackendServerId> expected = Placement(poolOf(ids)).nearest(PrefixKey(key), ids.size());
        const std::uint64_t lost = *std::next(ids.begin(), static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, ids.size())));
        ids.erase(lost);
        std::erase(expected, BackendServerId(lost));
        RC_ASSERT(Placement(poolOf(ids)).nearest(PrefixKey(key), ids.size()) == expected);
    }));
}

TEST(Placement, SharesAreEven)
{
    std::vector<BackendServerId> pool;
    pool.reserve(20);
    for (int i = 0; i < 20; ++i) {
        pool.push_back(backendServerId("e" + std::to_string(i)));
    }
    const Placement placement(pool);
    std::map<BackendServerId, int> counts;
    constexpr int keys = 20000;
    for (std::uint64_t key = 0; key < keys; ++key) {
        ++counts[placement.nearest(PrefixKey(key), 1).front()];
    }
    for (const BackendServerId id : pool) {
        EXPECT_LT(counts[id], 1.3 * keys / 20);
        EXPECT_GT(counts[id], 0.5 * keys / 20);
    }
}
