#include <control/budgetedtable.h>
#include <control/claimmanager.h>
#include <control/hostlisttask.h>
#include <control/leasemanager.h>
#include <control/tableclaimservice.h>
#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <store/httpplatform.h>
#include <support/childprocess.h>
#include <support/testhttp.h>

#include <gtest/gtest.h>

#include <memory>

namespace Verbena::Test {

namespace {

using namespace Decisions;
using namespace std::chrono_literals;

/// The platform client, table and claims of one process.
struct Node
{
    Node(EventLoop::Loop &loop, const std::string &url, const std::string &name, std::uint64_t seed)
        : platform(Store::HttpPlatform::create(loop, url).value())
        , table(*platform, loop, {}, seed)
        , claims(table, loop, {}, name, seed)
    {
    }

    std::unique_ptr<Store::HttpPlatform> platform;
    Control::BudgetedTable table;
    Control::ClaimManager claims;
};

/// Runs the managers against the platform's stand-in in a separate process.
class KeepersTest : public testing::Test
{
protected:
    void control(const std::string &json) const
    {
        ASSERT_EQ(sendHttp("POST", m_url + "/control", {}, json).status, 200);
    }

    // Runs until the condition holds; a condition that never holds ends in the timeout of the test.
    void runUntil(const std::function<bool()> &condition)
    {
        std::unique_ptr<EventLoop::Timer> timer;
        timer = std::make_unique<EventLoop::Timer>(*m_loop, [&] {
            if (condition()) {
                m_loop->stop();
            } else {
                timer->startAt(m_loop->now() + 5ms);
            }
        });
        timer->startAt(m_loop->now());
        m_loop->run();
    }

    ClaimResult claim(Node &node, const std::string &key, ClaimId &id)
    {
        std::optional<ClaimResult> result;
        id = node.claims.claim({"kessick", "dams", key, 1, m_loop->now() + 60s}, [&](const ClaimResult &given) { result = given; });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    ChildProcess m_process{"verbena-standin", {"platform"}};
    std::string m_url{"http://" + m_process.waitForLine("listening http ")};
    std::unique_ptr<EventLoop::Loop> m_loop{EventLoop::Loop::create().value()};
    Node m_first{*m_loop, m_url, "router1", 1};
    Node m_second{*m_loop, m_url, "router2", 2};
};

TEST_F(KeepersTest, claimsOnceThroughLostAnswersAndOutages)
{
    ClaimId id{};
    control(R"({"lost_answers": 1})");
    EXPECT_EQ(claim(m_first, "a", id).verdict, ClaimVerdict::Granted);
    EXPECT_TRUE(m_first.claims.mayDispatch(id));
    ClaimId other{};
    EXPECT_EQ(claim(m_second, "a", other).verdict, ClaimVerdict::Duplicate);
    m_first.claims.recordOutcome(id, {201, "application/json", "{}"});
    // A duplicate returns the outcome once it has been written to the table.
    ClaimResult duplicate = claim(m_second, "a", other);
    while (!duplicate.outcome) {
        duplicate = claim(m_second, "a", other);
    }
    EXPECT_EQ(duplicate.outcome->status, 201);
    control(R"({"outage": "refusing"})");
    EXPECT_EQ(claim(m_first, "b", id).verdict, ClaimVerdict::NotClaimed);
    control(R"({"outage": "none"})");
    ClaimResult later = claim(m_second, "b", other);
    while (later.verdict == ClaimVerdict::NotClaimed) {
        later = claim(m_second, "b", other);
    }
    EXPECT_EQ(later.verdict, ClaimVerdict::Granted);
}

TEST_F(KeepersTest, reportsTheHolderOfAKeyAndReleasesTheKeyIfNothingRan)
{
    Control::TableClaimService first(m_first.table, *m_loop, {}, "router1", 3);
    Control::TableClaimService second(m_second.table, *m_loop, {}, "router2", 4);
    const auto claimBy = [this](Control::TableClaimService &service, const std::string &request) {
        std::optional<Router::ClaimAnswer> answer;
        service.claim({"kessick", "dams", "key", request}, m_loop->now() + 60s, [&](const Router::ClaimAnswer &given) { answer = given; });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    };
    EXPECT_EQ(claimBy(first, "r1").outcome, Router::ClaimOutcome::Granted);
    EXPECT_EQ(claimBy(second, "r2").outcome, Router::ClaimOutcome::Taken);
    first.recordEnd({"kessick", "dams", "key", "r1"}, RunState::NotRun);
    Router::ClaimAnswer answer = claimBy(second, "r3");
    while (answer.outcome != Router::ClaimOutcome::Granted) {
        answer = claimBy(second, "r3");
    }
    second.recordEnd({"kessick", "dams", "key", "r3"}, RunState::Run);
    answer = claimBy(first, "r4");
    while (answer.holder != RunState::Run) {
        EXPECT_EQ(answer.outcome, Router::ClaimOutcome::Taken);
        answer = claimBy(first, "r4");
    }
}

TEST_F(KeepersTest, refusesWithinItsBudgetWithoutAskingThePlatform)
{
    Control::TableBudget budget;
    budget.readsPerSecond = 0.001;
    budget.burst = 1;
    Control::BudgetedTable table(*m_first.platform, *m_loop, budget, 1);
    std::vector<Core::ErrorCode> codes;
    for (int i = 0; i < 3; ++i) {
        table.get({"a"}, m_loop->now() + 20s, [&](const Core::Result<std::vector<Store::TableRow>> &rows) {
            codes.push_back(rows ? Core::ErrorCode::Internal : rows.error().code);
        });
    }
    EXPECT_TRUE(codes.empty());
    runUntil([&] { return codes.size() == 3; });
    EXPECT_EQ(std::count(codes.begin(), codes.end(), Core::ErrorCode::ResourceExhausted), 2);
}

TEST_F(KeepersTest, grantsThreePermitsToFourAgentsAndAReleasedOneToTheFourth)
{
    std::vector<std::unique_ptr<Control::LeaseManager>> managers;
    LeaseOptions options;
    options.retryInterval = 20ms;
    options.maximumRetryInterval = 40ms;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        Lease permit = Control::LeaseManager::weightPermit(options, "agent" + std::to_string(i), i);
        managers.push_back(std::make_unique<Control::LeaseManager>(m_first.table, *m_loop, std::move(permit), [] {}));
        managers.back()->setWanted(true);
    }
    const auto countHeld = [&] {
        return std::count_if(managers.begin(), managers.end(), [&](const auto &manager) { return manager->lease().isHeld(m_loop->now()); });
    };
    runUntil([&] { return countHeld() == 3; });
    const auto waiting = std::find_if(managers.begin(), managers.end(), [&](const auto &manager) { return !manager->lease().isHeld(m_loop->now()); });
    const auto holder = waiting == managers.begin() ? managers.begin() + 1 : managers.begin();
    (*holder)->setWanted(false);
    runUntil([&] { return (*waiting)->lease().isHeld(m_loop->now()); });
    EXPECT_EQ(countHeld(), 3);
    EXPECT_FALSE((*holder)->lease().isHeld(m_loop->now()));
}

/// Delivers each message to the one other process.
class PairChannel : public SettingsTree::PeerChannel
{
public:
    const std::vector<std::string> &peers() const override
    {
        return m_peers;
    }

    Core::Result<void> sendToPeer(const std::string &, const verbena::wire::Envelope &message) override
    {
        if (other != nullptr) {
            other->receiveFromPeer(message);
        }
        return Core::success();
    }

    Control::HostListTask *other = nullptr;

private:
    std::vector<std::string> m_peers{"other"};
};

TEST_F(KeepersTest, receivesALeavingHostFromAPeerWithoutPolling)
{
    control(R"({"hosts": [{"name": "e1", "incarnation": 1}, {"name": "e2", "incarnation": 1}]})");
    Control::HostListTaskOptions options;
    options.startSpread = 50ms;
    options.seed = 1;
    PairChannel toSecond;
    PairChannel toFirst;
    Control::HostListTask first(*m_first.platform, *m_loop, toSecond, options);
    options.seed = 2;
    Control::HostListTask second(*m_second.platform, *m_loop, toFirst, options);
    toSecond.other = &second;
    second.setProcessCount(1'000'000);
    runUntil([&] { return first.hosts().size() == 2 && second.hosts().size() == 2; });
    control(R"({"hosts": [{"name": "e1", "incarnation": 1, "leaving": true}]})");
    runUntil([&] { return second.hosts().size() == 1; });
    EXPECT_TRUE(second.hosts()[0].isLeaving);
}

} // namespace

} // namespace Verbena::Test
