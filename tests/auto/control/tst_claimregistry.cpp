#include "virtualclock.h"

#include <decisions/control/claimregistry.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>
#include <set>

namespace Verbena::Test {

namespace {

using namespace Decisions;
using namespace std::chrono_literals;
using Standin::Outage;

constexpr auto step = 10ms;

/// A router's ClaimRegistry whose operations run on the platform in memory.
class Router
{
public:
    Router(VirtualClock &clock, const std::string &name, std::uint64_t seed, const ClaimOptions &options = {})
        : m_clock(clock)
        , m_registry(std::make_shared<ClaimRegistry>(options, name, seed, clock.now()))
    {
    }

    ClaimId claim(const std::string &key, std::uint64_t hash = 7)
    {
        const ClaimId id = m_registry->claim({"kessick", "dams", key, hash, m_clock.now() + 60s}, m_clock.reading());
        keys[id] = key;
        return id;
    }

    void run()
    {
        m_registry->advance(m_clock.reading());
        for (const ClaimAction &action : m_registry->takeActions()) {
            if (const auto *report = std::get_if<ReportClaimResult>(&action)) {
                decisions[report->id].push_back(report->result);
            } else {
                send(action);
            }
        }
    }

    ClaimRegistry &registry()
    {
        return *m_registry;
    }

    const ClaimResult &result(ClaimId id) const
    {
        return decisions.at(id).at(0);
    }

    std::map<ClaimId, std::string> keys;
    std::map<ClaimId, std::vector<ClaimResult>> decisions;

private:
    // Answers to a router that was restarted in the meantime are lost.
    void send(const ClaimAction &action)
    {
        const std::weak_ptr<ClaimRegistry> weak = m_registry;
        VirtualClock &clock = m_clock;
        if (const auto *commit = std::get_if<CommitRows>(&action)) {
            clock.platform().commit(commit->writes, commit->deadline, [weak, &clock, id = commit->id](const Store::CommitAnswer &answer) {
                if (const auto registry = weak.lock()) {
                    registry->handleCommit(id, answer, clock.reading());
                }
            });
        } else if (const auto *read = std::get_if<ReadRows>(&action)) {
            clock.platform().get(read->keys, read->deadline, [weak, &clock, id = read->id](const auto &rows) {
                if (const auto registry = weak.lock()) {
                    registry->handleRows(id, rows, clock.reading());
                }
            });
        }
    }

    VirtualClock &m_clock;
    std::shared_ptr<ClaimRegistry> m_registry;
};

class ClaimRegistryTest : public testing::Test
{
protected:
    void runFor(std::chrono::milliseconds duration)
    {
        const Core::TimePoint end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            m_first.run();
            m_second.run();
            m_clock.platform().advanceTo(m_clock.now() + step);
        }
        m_first.run();
        m_second.run();
    }

    void setFaults(const Standin::PlatformFaults &faults)
    {
        m_clock.platform().state().setFaults(faults);
    }

    VirtualClock m_clock{4ms};
    Router m_first{m_clock, "router1", 1};
    Router m_second{m_clock, "router2", 2};
};

TEST_F(ClaimRegistryTest, grantsOneOfTwoConcurrentClaimsAndReturnsItsOutcomeToTheOther)
{
    const ClaimId winner = m_first.claim("a");
    const ClaimId loser = m_second.claim("a");
    runFor(100ms);
    EXPECT_EQ(m_first.result(winner).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(m_second.result(loser).verdict, ClaimVerdict::Duplicate);
    EXPECT_FALSE(m_second.result(loser).outcome);
    m_first.registry().recordOutcome(winner, {200, "application/json", "{\"n\":\n1}"}, m_clock.now());
    runFor(100ms);
    const ClaimId later = m_second.claim("a");
    const ClaimId other = m_second.claim("b");
    runFor(100ms);
    EXPECT_EQ(m_second.result(later).outcome->status, 200);
    EXPECT_EQ(m_second.result(later).outcome->body, "{\"n\":\n1}");
    EXPECT_TRUE(m_second.result(later).isSameRequest);
    EXPECT_EQ(m_second.result(other).verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, reportsAnotherRequestUnderTheSameKey)
{
    m_first.claim("a", 7);
    runFor(100ms);
    const ClaimId other = m_second.claim("a", 8);
    runFor(100ms);
    EXPECT_EQ(m_second.result(other).verdict, ClaimVerdict::Duplicate);
    EXPECT_FALSE(m_second.result(other).isSameRequest);
}

TEST_F(ClaimRegistryTest, splitsABatchSoThatClaimsWithoutConflictAreGranted)
{
    m_first.claim("taken");
    runFor(100ms);
    std::vector<ClaimId> innocent;
    innocent.reserve(20);
    for (int i = 0; i < 20; ++i) {
        innocent.push_back(m_second.claim("k" + std::to_string(i)));
    }
    const ClaimId refused = m_second.claim("taken");
    const auto writes = m_clock.platform().state().counts().writes;
    runFor(100ms);
    EXPECT_EQ(m_second.result(refused).verdict, ClaimVerdict::Duplicate);
    for (const ClaimId id : innocent) {
        EXPECT_EQ(m_second.result(id).verdict, ClaimVerdict::Granted);
    }
    EXPECT_EQ(m_clock.platform().state().counts().writes - writes, 2U);
}

TEST_F(ClaimRegistryTest, readsBackWhenTheAnswerIsLostAfterTheEffectAndBefore)
{
    setFaults({.lostAnswers = 1});
    const ClaimId written = m_first.claim("a");
    runFor(2500ms);
    EXPECT_EQ(m_first.result(written).verdict, ClaimVerdict::Granted);
    setFaults({.lostRequests = 1});
    const ClaimId unwritten = m_first.claim("b");
    runFor(2500ms);
    EXPECT_EQ(m_first.result(unwritten).verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, decidesNotClaimedDuringAnOutageOfMinutesAndGrantsAfterIt)
{
    for (const Outage outage : {Outage::Refusing, Outage::Silent}) {
        setFaults({.outage = outage});
        const std::string key = outage == Outage::Silent ? "silent" : "refusing";
        const ClaimId during = m_first.claim(key);
        runFor(3100ms);
        EXPECT_EQ(m_first.result(during).verdict, ClaimVerdict::NotClaimed);
        runFor(180s);
        setFaults({});
        runFor(12s);
        const ClaimId after = m_second.claim(key);
        runFor(100ms);
        EXPECT_EQ(m_second.result(after).verdict, ClaimVerdict::Granted);
    }
}

TEST_F(ClaimRegistryTest, withdrawsAClaimThatWasWrittenButRefusedToItsCaller)
{
    // The write takes effect and the table then goes silent until the claim's decision timeout has passed.
    setFaults({.lostAnswers = 1});
    const ClaimId first = m_first.claim("a");
    runFor(50ms);
    setFaults({.outage = Outage::Refusing});
    runFor(4s);
    EXPECT_EQ(m_first.result(first).verdict, ClaimVerdict::NotClaimed);
    setFaults({});
    runFor(12s);
    const ClaimId again = m_second.claim("a");
    runFor(100ms);
    EXPECT_EQ(m_second.result(again).verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, fencesOffAWriteThatTakesEffectAfterItsCallerWasRefused)
{
    setFaults({.delayedWrites = 1});
    const ClaimId first = m_first.claim("a");
    runFor(50ms);
    setFaults({.outage = Outage::Refusing});
    runFor(3500ms);
    EXPECT_EQ(m_first.result(first).verdict, ClaimVerdict::NotClaimed);
    setFaults({});
    runFor(20s);
    const ClaimId again = m_second.claim("a");
    runFor(100ms);
    EXPECT_EQ(m_second.result(again).verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, forbidsTheDispatchToAHolderThatResumesLate)
{
    const ClaimId id = m_first.claim("a");
    runFor(100ms);
    ASSERT_EQ(m_first.result(id).verdict, ClaimVerdict::Granted);
    EXPECT_TRUE(m_first.registry().mayDispatch(id, m_clock.now()));
    EXPECT_FALSE(m_first.registry().mayDispatch(id, m_clock.now() + 31s));
}

TEST_F(ClaimRegistryTest, grantsAKeyAgainAfterItsLifetimeOrItsRelease)
{
    const ClaimId released = m_first.claim("r");
    m_first.claim("e");
    runFor(100ms);
    m_first.registry().release(released, m_clock.now());
    runFor(100ms);
    const ClaimId again = m_second.claim("r");
    const ClaimId early = m_second.claim("e");
    runFor(100ms);
    EXPECT_EQ(m_second.result(again).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(m_second.result(early).verdict, ClaimVerdict::Duplicate);
    m_clock.platform().advanceTo(m_clock.now() + 24h + 6min);
    const ClaimId late = m_second.claim("e");
    runFor(100ms);
    EXPECT_EQ(m_second.result(late).verdict, ClaimVerdict::Granted);
}

Standin::PlatformFaults arbitraryFaults()
{
    Standin::PlatformFaults faults;
    faults.writesPerSecond = *rc::gen::element(0U, 0U, 5U, 50U);
    faults.readsPerSecond = *rc::gen::element(0U, 0U, 5U, 50U);
    faults.outage = *rc::gen::element(Outage::None, Outage::None, Outage::None, Outage::Refusing, Outage::Silent);
    faults.answerDelay = std::chrono::milliseconds(*rc::gen::element(0, 0, 300, 1500));
    faults.lostAnswers = *rc::gen::element(0U, 0U, 1U, 3U);
    faults.lostRequests = *rc::gen::element(0U, 0U, 1U, 3U);
    faults.delayedWrites = *rc::gen::element(0U, 0U, 1U, 3U);
    return faults;
}

TEST(ClaimRegistryProperty, neverHoldsAClaimTwice)
{
    // A granted claim counts as run. No claim is ended; routers are replaced while claims are pending or granted.
    EXPECT_TRUE(rc::check("no key is granted twice, and an unclaimed key can be claimed once the faults have ended", [] {
        VirtualClock clock(4ms);
        std::vector<std::unique_ptr<Router>> routers;
        std::vector<std::unique_ptr<Router>> gone;
        for (std::uint64_t i = 0; i < 3; ++i) {
            routers.push_back(std::make_unique<Router>(clock, "router" + std::to_string(i), i + 1));
        }
        std::uint64_t nextSeed = 100;
        const int steps = *rc::gen::inRange(5, 40);
        for (int i = 0; i < steps; ++i) {
            Router &router = *routers[*rc::gen::inRange(0, 3)];
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                clock.platform().state().setFaults(arbitraryFaults());
                break;
            case 1: {
                auto &slot = routers[*rc::gen::inRange(0, 3)];
                gone.push_back(std::make_unique<Router>(std::move(*slot)));
                slot = std::make_unique<Router>(clock, "router", ++nextSeed);
                break;
            }
            default:
                for (int n = *rc::gen::inRange(1, 4); n > 0; --n) {
                    router.claim(std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 6))));
                }
            }
            const Core::TimePoint end = clock.now() + std::chrono::milliseconds(*rc::gen::element(0, 2, 50, 700, 4000));
            do {
                for (const auto &each : routers) {
                    each->run();
                }
                clock.platform().advanceTo(std::min(end, clock.now() + 20ms));
            } while (clock.now() < end);
        }
        clock.platform().state().setFaults({});
        for (int i = 0; i < 3000; ++i) {
            for (const auto &each : routers) {
                each->run();
            }
            clock.platform().advanceTo(clock.now() + 25ms);
        }
        std::map<std::string, int> granted;
        std::set<std::string> touchedByGone;
        const auto count = [&granted](const Router &router) {
            for (const auto &[id, results] : router.decisions) {
                RC_ASSERT(results.size() == 1U);
                granted[router.keys.at(id)] += results[0].verdict == ClaimVerdict::Granted ? 1 : 0;
            }
        };
        for (const auto &each : routers) {
            RC_ASSERT(each->decisions.size() == each->keys.size());
            count(*each);
        }
        for (const auto &each : gone) {
            count(*each);
            for (const auto &[id, key] : each->keys) {
                touchedByGone.insert(key);
            }
        }
        for (const auto &[key, times] : granted) {
            RC_ASSERT(times <= 1);
            if (times == 0 && !touchedByGone.contains(key)) {
                Router fresh(clock, "fresh", ++nextSeed);
                const ClaimId id = fresh.claim(key);
                for (int i = 0; i < 10; ++i) {
                    fresh.run();
                    clock.platform().advanceTo(clock.now() + 10ms);
                }
                fresh.run();
                RC_ASSERT(fresh.result(id).verdict == ClaimVerdict::Granted);
            }
        }
    }));
}

} // namespace

} // namespace Verbena::Test
