#include <decisions/gate/modelplan.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>

namespace Verbena::Decisions {

namespace {

constexpr int engineCount = 12;

Core::TimePoint at(int count)
{
    return Core::TimePoint(std::chrono::seconds(count));
}

BackendServerId engineId(int engine)
{
    return backendServerId("e" + std::to_string(engine));
}

// The plans of all engines, whose orders are performed at once.
class EngineFleet
{
public:
    EngineFleet()
    {
        for (int engine = 0; engine < engineCount; ++engine) {
            plans.emplace_back(engineId(engine));
            loaded.emplace_back();
        }
    }

    void setModels(const std::vector<DeclaredModel> &models, Core::TimePoint now)
    {
        for (ModelPlan &plan : plans) {
            plan.setModels(models, now);
        }
    }

    void setPresent(const std::vector<bool> &isPresent, Core::TimePoint now)
    {
        std::vector<PlannedEngine> engines;
        engines.reserve(engineCount);
        for (int engine = 0; engine < engineCount; ++engine) {
            engines.push_back({engineId(engine), {"m", "m:a"}, isPresent[std::size_t(engine)]});
        }
        for (ModelPlan &plan : plans) {
            plan.setEngines(engines, now);
        }
    }

    int performOrders(Core::TimePoint now)
    {
        int loads = 0;
        for (std::size_t engine = 0; engine < plans.size(); ++engine) {
            plans[engine].tick(now);
            const std::vector<ModelOrder> orders = plans[engine].orders();
            for (const ModelOrder &order : orders) {
                if (order.kind == ModelOrder::Kind::Load) {
                    loaded[engine].push_back(order.version);
                    ++loads;
                } else {
                    std::erase(loaded[engine], order.version);
                }
            }
            plans[engine].setLoaded(loaded[engine], now);
        }
        return loads;
    }

    long countHolders(const ModelVersion &version) const
    {
        return std::count_if(
            loaded.begin(), loaded.end(), [&version](const auto &versions) { return std::count(versions.begin(), versions.end(), version) > 0; });
    }

    std::vector<ModelPlan> plans;
    std::vector<std::vector<ModelVersion>> loaded;
};

const ModelVersion baseModel{"m", "", "7"};
const ModelVersion adapter{"m", "a", "7"};
const std::vector<bool> allPresent(engineCount, true);

TEST(ModelPlanTest, placesRequestedReplicas)
{
    EngineFleet fleet;
    fleet.setModels({{baseModel, 0}, {adapter, 3}}, at(0));
    fleet.setPresent(allPresent, at(0));
    EXPECT_EQ(fleet.performOrders(at(0)), engineCount + 3);
    EXPECT_EQ(fleet.countHolders(baseModel), engineCount);
    EXPECT_EQ(fleet.countHolders(adapter), 3);
    EXPECT_EQ(fleet.performOrders(at(1)), 0);
}

TEST(ModelPlanTest, loadsNothingDuringShortAbsences)
{
    EXPECT_TRUE(rc::check("as long as each absence is shorter than the grace period", [] {
        EngineFleet fleet;
        fleet.setModels({{adapter, 3}}, at(0));
        fleet.setPresent(allPresent, at(0));
        fleet.performOrders(at(0));
        int second = 0;
        for (int i = 0; i < 20; ++i) {
            std::vector<bool> present = allPresent;
            present[*rc::gen::inRange<std::size_t>(0, engineCount)] = false;
            fleet.setPresent(present, at(second));
            second += *rc::gen::inRange(1, 29);
            RC_ASSERT(fleet.performOrders(at(second)) == 0);
            fleet.setPresent(allPresent, at(second));
            second += 11;
            RC_ASSERT(fleet.performOrders(at(second)) == 0);
        }
    }));
}

TEST(ModelPlanTest, replacesAbsentHostAndUnloadsSurplusLater)
{
    EngineFleet fleet;
    fleet.setModels({{adapter, 3}}, at(0));
    fleet.setPresent(allPresent, at(0));
    fleet.performOrders(at(0));
    std::vector<bool> present = allPresent;
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        if (!fleet.loaded[engine].empty()) {
            present[engine] = false;
            break;
        }
    }
    fleet.setPresent(present, at(10));
    ASSERT_EQ(fleet.plans[0].nextDeadline(), at(40));
    EXPECT_EQ(fleet.performOrders(at(39)), 0);
    EXPECT_EQ(fleet.performOrders(at(40)), 1);
    fleet.setPresent(allPresent, at(60));
    EXPECT_EQ(fleet.performOrders(at(70)), 0);
    EXPECT_EQ(fleet.countHolders(adapter), 4);
    fleet.performOrders(at(369));
    EXPECT_EQ(fleet.countHolders(adapter), 4);
    fleet.performOrders(at(371));
    EXPECT_EQ(fleet.countHolders(adapter), 3);
}

TEST(ModelPlanTest, keepsOldWeightsUntilNewOnesAreLoaded)
{
    ModelPlan plan(engineId(0));
    plan.setModels({{baseModel, 0}}, at(0));
    plan.setEngines({{engineId(0), {"m"}, true}}, at(0));
    plan.setLoaded({baseModel}, at(0));
    EXPECT_TRUE(plan.orders().empty());
    const ModelVersion newer{"m", "", "8"};
    plan.setModels({{newer, 0}}, at(1));
    EXPECT_EQ(plan.orders(), (std::vector<ModelOrder>{{ModelOrder::Kind::Load, newer}}));
    plan.setLoaded({baseModel, newer}, at(2));
    EXPECT_EQ(plan.orders(), (std::vector<ModelOrder>{{ModelOrder::Kind::Unload, baseModel}}));
}

TEST(ModelPlanTest, unloadsRemovedModelsAtOnce)
{
    ModelPlan plan(engineId(0));
    plan.setEngines({{engineId(0), {"m"}, true}}, at(0));
    plan.setModels({}, at(0));
    plan.setLoaded({baseModel}, at(1));
    EXPECT_EQ(plan.orders(), (std::vector<ModelOrder>{{ModelOrder::Kind::Unload, baseModel}}));
}

} // namespace

} // namespace Verbena::Decisions
