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

// The plans of all engines, each obeyed at once.
class Fleet
{
public:
    Fleet()
    {
        for (int engine = 0; engine < engineCount; ++engine) {
            plans.emplace_back(engineId(engine));
            held.emplace_back();
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

    int obey(Core::TimePoint now)
    {
        int loads = 0;
        for (std::size_t engine = 0; engine < plans.size(); ++engine) {
            plans[engine].tick(now);
            const std::vector<ModelOrder> orders = plans[engine].orders();
            for (const ModelOrder &order : orders) {
                if (order.kind == ModelOrder::Kind::Load) {
                    held[engine].push_back(order.version);
                    ++loads;
                } else {
                    std::erase(held[engine], order.version);
                }
            }
            plans[engine].setLoaded(held[engine], now);
        }
        return loads;
    }

    long holders(const ModelVersion &version) const
    {
        return std::count_if(held.begin(), held.end(), [&version](const auto &versions) { return std::count(versions.begin(), versions.end(), version) > 0; });
    }

    std::vector<ModelPlan> plans;
    std::vector<std::vector<ModelVersion>> held;
};

const ModelVersion bare{"m", "", "7"};
const ModelVersion adapted{"m", "a", "7"};
const std::vector<bool> allPresent(engineCount, true);

TEST(ModelPlanTest, placesTheReplicasAskedFor)
{
    Fleet fleet;
    fleet.setModels({{bare, 0}, {adapted, 3}}, at(0));
    fleet.setPresent(allPresent, at(0));
    EXPECT_EQ(fleet.obey(at(0)), engineCount + 3);
    EXPECT_EQ(fleet.holders(bare), engineCount);
    EXPECT_EQ(fleet.holders(adapted), 3);
    EXPECT_EQ(fleet.obey(at(1)), 0);
}

TEST(ModelPlanTest, loadsNothingForHostsThatComeAndGo)
{
    EXPECT_TRUE(rc::check("as long as each absence is shorter than the grace", [] {
        Fleet fleet;
        fleet.setModels({{adapted, 3}}, at(0));
        fleet.setPresent(allPresent, at(0));
        fleet.obey(at(0));
        int second = 0;
        for (int i = 0; i < 20; ++i) {
            std::vector<bool> present = allPresent;
            present[*rc::gen::inRange<std::size_t>(0, engineCount)] = false;
            fleet.setPresent(present, at(second));
            second += *rc::gen::inRange(1, 29);
            RC_ASSERT(fleet.obey(at(second)) == 0);
            fleet.setPresent(allPresent, at(second));
            second += 11;
            RC_ASSERT(fleet.obey(at(second)) == 0);
        }
    }));
}

TEST(ModelPlanTest, replacesAHostThatStaysAwayAndKeepsItsCopyForAWhile)
{
    Fleet fleet;
    fleet.setModels({{adapted, 3}}, at(0));
    fleet.setPresent(allPresent, at(0));
    fleet.obey(at(0));
    std::vector<bool> present = allPresent;
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        if (!fleet.held[engine].empty()) {
            present[engine] = false;
            break;
        }
    }
    fleet.setPresent(present, at(10));
    ASSERT_EQ(fleet.plans[0].nextDeadline(), at(40));
    EXPECT_EQ(fleet.obey(at(39)), 0);
    EXPECT_EQ(fleet.obey(at(40)), 1);
    fleet.setPresent(allPresent, at(60));
    EXPECT_EQ(fleet.obey(at(70)), 0);
    EXPECT_EQ(fleet.holders(adapted), 4);
    fleet.obey(at(369));
    EXPECT_EQ(fleet.holders(adapted), 4);
    fleet.obey(at(371));
    EXPECT_EQ(fleet.holders(adapted), 3);
}

TEST(ModelPlanTest, keepsOldWeightsUntilNewOnesAreHeld)
{
    ModelPlan plan(engineId(0));
    plan.setModels({{bare, 0}}, at(0));
    plan.setEngines({{engineId(0), {"m"}, true}}, at(0));
    plan.setLoaded({bare}, at(0));
    EXPECT_TRUE(plan.orders().empty());
    const ModelVersion newer{"m", "", "8"};
    plan.setModels({{newer, 0}}, at(1));
    EXPECT_EQ(plan.orders(), (std::vector<ModelOrder>{{ModelOrder::Kind::Load, newer}}));
    plan.setLoaded({bare, newer}, at(2));
    EXPECT_EQ(plan.orders(), (std::vector<ModelOrder>{{ModelOrder::Kind::Unload, bare}}));
}

TEST(ModelPlanTest, unloadsAtOnceWhatAnOperatorTookAway)
{
    ModelPlan plan(engineId(0));
    plan.setEngines({{engineId(0), {"m"}, true}}, at(0));
    plan.setModels({}, at(0));
    plan.setLoaded({bare}, at(1));
    EXPECT_EQ(plan.orders(), (std::vector<ModelOrder>{{ModelOrder::Kind::Unload, bare}}));
}

} // namespace

} // namespace Verbena::Decisions
