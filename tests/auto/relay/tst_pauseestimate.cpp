#include <decisions/relay/pauseestimate.h>
#include <decisions/relay/relayfleet.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr Core::TimePoint start{1h};
constexpr microseconds pauseTarget = 400ms;

TEST(PauseEstimateTest, scalesPausesWithTheSpeedOfTheServer)
{
    PauseEstimate estimate;
    for (int stream = 0; stream < 40; ++stream) {
        estimate.addSample(stream % 4 == 0 ? 300ms : 100ms, 1);
    }
    EXPECT_EQ(estimate.lateFraction(0.6, pauseTarget), 0);
    EXPECT_EQ(estimate.lateFraction(1, pauseTarget), 0);
    EXPECT_DOUBLE_EQ(estimate.lateFraction(1.6, pauseTarget), 0.25);
    EXPECT_DOUBLE_EQ(estimate.lateFraction(4.1, pauseTarget), 1);
}

// One late stream says nothing of the others.
TEST(PauseEstimateTest, isZeroUntilSeveralStreamsAreKnown)
{
    PauseEstimate estimate;
    for (int stream = 0; stream < 7; ++stream) {
        estimate.addSample(2s, 1);
    }
    EXPECT_EQ(estimate.lateFraction(1, pauseTarget), 0);
    estimate.addSample(2s, 1);
    EXPECT_EQ(estimate.lateFraction(1, pauseTarget), 1);
}

TEST(PauseEstimateTest, isAFractionThatGrowsWithSlowness)
{
    EXPECT_TRUE(rc::check([] {
        PauseEstimate estimate;
        for (const auto &[pause, speed] : *rc::gen::arbitrary<std::vector<std::pair<std::uint32_t, std::uint8_t>>>()) {
            estimate.addSample(microseconds(pause % 5'000'000), 0.25 + speed / 68.0);
        }
        double before = 0;
        for (double slowness = 0.25; slowness <= 4; slowness += 0.25) {
            const double fraction = estimate.lateFraction(slowness, pauseTarget);
            RC_ASSERT(fraction >= before && fraction <= 1);
            before = fraction;
        }
    }));
}

// Twelve engines, every third of which is slow all the time; all slow down for a moment now and then.
class UnevenEngines
{
public:
    explicit UnevenEngines(bool isPaceNamed)
        : m_isPaceNamed(isPaceNamed)
    {
        for (int number = 0; number < engines; ++number) {
            m_fleet.servers().set({std::to_string(number), "reader", address(number), "hall", 96, false, {{"m", 1}}});
        }
    }

    // Returns how many of \a streams have a late pause; every third meets a long prompt at its engine.
    int replay(int streams)
    {
        int late = 0;
        for (int stream = 0; stream < streams; ++stream) {
            m_now += 50ms;
            report(stream);
            FleetChoice choice = *m_fleet.choose(query("rules-" + std::to_string(stream % 30)), m_now);
            m_fleet.recordSent(choice, m_now);
            m_fleet.recordAnswered(choice, m_now);
            const microseconds longest = longestPause(std::stoi(choice.serverId), stream);
            m_fleet.recordLongestPause(choice, longest);
            late += longest > pauseTarget ? 1 : 0;
        }
        return late;
    }

private:
    static constexpr int engines = 12;

    static std::string address(int number)
    {
        return "10.0.0." + std::to_string(number) + ":80";
    }

    static double speed(int number)
    {
        return number % 3 == 0 ? 1.6 : number % 3 == 1 ? 1 : 0.6;
    }

    static microseconds longestPause(int number, int stream)
    {
        return std::chrono::duration_cast<microseconds>((stream % 3 == 0 ? 280ms : 90ms) * speed(number));
    }

    FleetQuery query(const std::string &rules)
    {
        m_prompt = {"m", {{rules, 198}, {"own", 628}}, 826, 69};
        FleetQuery query;
        query.service = "reader";
        query.route = "hint";
        query.prompt = &m_prompt;
        query.randomValue = ++m_queryCount * 7919;
        query.latencyTarget = 600ms;
        query.pauseTarget = pauseTarget;
        return query;
    }

    void report(int round)
    {
        for (int number = 0; number < engines; ++number) {
            EngineStatus status;
            status.weights = {{"m", 1}};
            status.totalTokens = 100'000;
            if (m_isPaceNamed) {
                status.pace = speed(number) * ((round / 4 + number) % 5 == 0 ? 2.5 : 1);
            }
            m_fleet.updateStatus(address(number), status, m_now);
        }
    }

    static RoutingOptions options()
    {
        RoutingOptions routing;
        routing.isProbing = false;
        routing.seed = 7;
        return routing;
    }

    RelayFleet m_fleet{options(), {}};
    PromptOutline m_prompt;
    Core::TimePoint m_now = start;
    bool m_isPaceNamed;
    std::uint64_t m_queryCount = 0;
};

// A third of the streams went to lastingly slow engines, where every third of them had a late pause; elsewhere none had.
TEST(EngineChoiceTest, keepsShortStreamsAwayFromLastinglySlowEngines)
{
    constexpr int streams = 1000;
    UnevenEngines named(true);
    UnevenEngines unnamed(false);
    const int withPace = named.replay(streams);
    const int without = unnamed.replay(streams);
    RecordProperty("late_with_pace", withPace);
    RecordProperty("late_without", without);
    EXPECT_GT(without, streams / 20);
    EXPECT_LT(withPace, without / 4);
}

} // namespace

} // namespace Verbena::Decisions
