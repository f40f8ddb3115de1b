#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <optional>
#include <sstream>

namespace Verbena::Test {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Whole lines of a log as they come, among which the plan of an engine's load is looked for.
class WeightsTurnsTest : public testing::Test
{
protected:
    void nameWeights()
    {
        ASSERT_TRUE(m_deployment.askUntil("answer of version 1"));
        m_deployment.engine().holdOrders();
        m_deployment.store().put("op", "version/m", {{"model", "m"}, {"version", 2}});
    }

    json nextPlan()
    {
        std::optional<json> plan;
        m_deployment.runUntil([&] { return (plan = takePlan()).has_value(); });
        return plan.value_or(json::object());
    }

    void forgetOutput()
    {
        m_output.clear();
    }

    void wait(std::chrono::milliseconds time)
    {
        const Core::TimePoint end = m_deployment.loop().now() + time;
        m_deployment.runUntil([&] { return m_deployment.loop().now() >= end; });
    }

    static int number(const json &plan, const std::string &field)
    {
        const std::string text = plan.value(field, "");
        return text.empty() ? -1 : std::stoi(text);
    }

    PlatformDeployment m_deployment;

private:
    std::optional<json> takePlan()
    {
        m_output += m_deployment.agent().takeOutput();
        const std::size_t end = m_output.rfind('\n');
        std::istringstream lines(m_output.substr(0, end == std::string::npos ? 0 : end + 1));
        m_output.erase(0, end == std::string::npos ? 0 : end + 1);
        std::string line;
        while (std::getline(lines, line)) {
            const json event = json::parse(line, nullptr, false);
            if (event.is_object() && event.value("event", "") == "weights_planned") {
                return event;
            }
        }
        return std::nullopt;
    }

    std::string m_output;
};

// Agents were killed 0.9, 3.0 and 4.5 s after a naming, and each planned its engine's turn anew from the moment at which it heard of the weights, so that the
// last engine of nine would have loaded 10.7 s after the naming:
//   20.02 weights_planned version=3 before=8 in_ms=4731
//   21.65, 23.75, 25.25 process_started, and up to 0.8 s later weights_planned with the same in_ms
TEST_F(WeightsTurnsTest, comesBackToTheSameTurnWhenAnAgentStartsAgain)
{
    nameWeights();
    ASSERT_EQ(number(nextPlan(), "engines"), 1);
    wait(600ms);
    m_deployment.restartAgent();
    forgetOutput();
    const json plan = nextPlan();
    EXPECT_GE(number(plan, "named_ms"), 600) << plan;
    EXPECT_NEAR(number(plan, "in_ms"), std::max(0, 1000 - number(plan, "named_ms")), 2) << plan;
}

// A router that starts reads which weights are named before it reads who serves the model. It told nine agents in the same millisecond that their engines had
// no turn, upon which all of them loaded at once and none was left to serve:
//   weights_planned version=2 engines=0 before=0 in_ms=0
TEST_F(WeightsTurnsTest, tellsNoTurnsBeforeTheRegisterIsRead)
{
    nameWeights();
    ASSERT_EQ(number(nextPlan(), "engines"), 1);
    m_deployment.stopRouter();
    m_deployment.restartAgent();
    forgetOutput();
    m_deployment.restartRouter();
    const json plan = nextPlan();
    EXPECT_EQ(number(plan, "engines"), 1) << plan;
}

} // namespace

} // namespace Verbena::Test
