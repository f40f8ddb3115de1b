#include <decisions/attempts/attempttracker.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t answerTokens = 3;
constexpr BackendServerId firstServer{1};

std::string tokenText(std::uint32_t index)
{
    return std::string(1, static_cast<char>('a' + index));
}

std::string wholeText()
{
    std::string text;
    for (std::uint32_t i = 0; i < answerTokens; ++i) {
        text += tokenText(i);
    }
    return text;
}

/// An attempt as its agent sees it.
struct AgentSide
{
    std::uint32_t resumeTokens = 0;
    std::uint64_t sent = 0; ///< Frames sent so far.
    bool isReceived = false;
    bool isRefused = false;
    bool hasRun = false;
    bool isOver = false;
};

enum class Step {
    Send,
    CannotSend,
    NoCandidate,
    Admit,
    Refuse,
    RefuseAsDuplicate,
    NextFrame,
    RepeatFrame,
    SkipFrame,
    Complete,
    LoseEngine,
    LoseAgent,
    Deadline,
    LeaveAsCaller,
};

/// Plays agents, network and caller for one tracker, and holds what the caller saw.
class World
{
public:
    explicit World(bool isIdempotent)
        : m_isIdempotent(isIdempotent)
        , m_budget(0.1, 100, 100)
        , m_tracker(policy(isIdempotent), m_budget)
    {
        take(m_tracker.start());
    }

    // Steps of an attempt go to any attempt so far, so that late messages of older ones come in between.
    void play(Step step, std::uint32_t choice)
    {
        const std::uint32_t current = m_tracker.attempt();
        const std::uint32_t attempt = 1 + choice % current;
        AgentSide &agent = m_agents[attempt];
        switch (step) {
        case Step::Send:
            if (m_tracker.state() == AttemptState::NotSent) {
                m_tracker.noteSent(m_tracker.attempt(), BackendServerId{m_tracker.attempt()});
                m_agents[m_tracker.attempt()].isReceived = true;
            }
            break;
        case Step::CannotSend:
            take(m_tracker.noteNotSent(m_tracker.attempt(), BackendServerId{m_tracker.attempt()}));
            break;
        case Step::NoCandidate:
            take(m_tracker.noteNoCandidate());
            break;
        case Step::LoseAgent:
            takeFrom(attempt, current, m_tracker.noteAgentLost(attempt));
            break;
        case Step::Deadline:
            take(m_tracker.noteDeadline());
            break;
        case Step::LeaveAsCaller:
            take(m_tracker.noteCallerGone());
            m_hasLeft = true;
            break;
        default:
            if (agent.isReceived && !agent.isOver) {
                playAgent(step, attempt, agent);
            }
        }
    }

    void check() const
    {
        RC_ASSERT(wholeText().starts_with(m_seen));
        RC_ASSERT(m_finishes + m_failures <= 1);
        RC_ASSERT(m_finishes == 0 || m_seen == wholeText());
        const bool isAnswered = m_finishes + m_failures == 1;
        RC_ASSERT((m_tracker.state() == AttemptState::Ended) == (isAnswered || m_hasLeft));
        std::size_t maybeRun = 0;
        std::size_t run = 0;
        for (const auto &[attempt, agent] : m_agents) {
            maybeRun += agent.isReceived && !agent.isRefused ? 1 : 0;
            run += agent.hasRun ? 1 : 0;
        }
        RC_ASSERT(m_isIdempotent || maybeRun <= 1);
        RC_ASSERT(m_failedRun != RunState::NotRun || maybeRun == 0);
        RC_ASSERT(m_failedRun != RunState::Run || run > 0);
    }

private:
    static AttemptPolicy policy(bool isIdempotent)
    {
        AttemptPolicy policy;
        policy.isIdempotent = isIdempotent;
        policy.maximumTokens = answerTokens;
        return policy;
    }

    void playAgent(Step step, std::uint32_t attempt, AgentSide &agent)
    {
        const std::uint32_t left = answerTokens - agent.resumeTokens;
        const std::uint32_t current = m_tracker.attempt();
        if (step == Step::Admit) {
            m_tracker.noteAdmitted(attempt);
        } else if (step == Step::Refuse && !agent.hasRun) {
            agent.isRefused = true;
            agent.isOver = true;
            takeFrom(attempt, current, m_tracker.noteRefused(attempt, AttemptRefusal::QueueFull, 5ms));
        } else if (step == Step::RefuseAsDuplicate) {
            takeFrom(attempt, current, m_tracker.noteRefused(attempt, AttemptRefusal::Duplicate, 0ms));
        } else if (step == Step::NextFrame && agent.sent < left) {
            agent.hasRun = true;
            ++agent.sent;
            frame(attempt, agent, agent.sent);
        } else if (step == Step::RepeatFrame && agent.sent > 0) {
            frame(attempt, agent, agent.sent);
        } else if (step == Step::SkipFrame && agent.sent < left) {
            agent.hasRun = true;
            ++agent.sent;
        } else if (step == Step::Complete && agent.sent == left) {
            agent.hasRun = true;
            agent.isOver = true;
            takeFrom(attempt, current, m_tracker.noteEnded(attempt, agent.sent + 1, AttemptEnd::Complete));
        } else if (step == Step::LoseEngine) {
            agent.isOver = true;
            takeFrom(attempt, current, m_tracker.noteEnded(attempt, agent.sent + 1, AttemptEnd::EngineLost));
        }
    }

    void frame(std::uint32_t attempt, const AgentSide &agent, std::uint64_t sequence)
    {
        const std::string text = tokenText(agent.resumeTokens + static_cast<std::uint32_t>(sequence) - 1);
        const std::uint32_t current = m_tracker.attempt();
        takeFrom(attempt, current, m_tracker.noteFrame(attempt, sequence, text, 1));
    }

    // What an older attempt says late must not matter.
    void takeFrom(std::uint32_t attempt, std::uint32_t current, const AttemptActions &actions)
    {
        RC_ASSERT(attempt == current || actions.empty());
        take(actions);
    }

    void take(const AttemptActions &actions)
    {
        for (const AttemptAction &action : actions) {
            RC_ASSERT(m_finishes + m_failures == 0U);
            if (const auto *deliver = std::get_if<DeliverText>(&action)) {
                m_seen += deliver->text;
            } else if (const auto *dispatch = std::get_if<DispatchAttempt>(&action)) {
                RC_ASSERT(dispatch->attempt == m_tracker.attempt());
                RC_ASSERT(dispatch->resumeTokens == m_seen.size());
                m_agents[dispatch->attempt].resumeTokens = dispatch->resumeTokens;
            } else if (std::holds_alternative<FinishRequest>(action)) {
                ++m_finishes;
            } else if (const auto *fail = std::get_if<FailRequest>(&action)) {
                ++m_failures;
                m_failedRun = fail->run;
            }
        }
    }

    bool m_isIdempotent;
    RetryBudget m_budget;
    AttemptTracker m_tracker;
    std::map<std::uint32_t, AgentSide> m_agents;
    std::string m_seen;
    unsigned m_finishes = 0;
    unsigned m_failures = 0;
    bool m_hasLeft = false;
    std::optional<RunState> m_failedRun;
};

// Frames come more often than the rest, as in life; else few orders would get far.
Step stepOf(std::uint32_t number)
{
    constexpr std::uint32_t frameWeight = 8;
    constexpr auto stepCount = static_cast<std::uint32_t>(Step::LeaveAsCaller) + 1;
    const std::uint32_t drawn = number % (stepCount + frameWeight);
    return drawn < stepCount ? static_cast<Step>(drawn) : drawn % 2 == 0 ? Step::NextFrame : Step::Send;
}

class TrackerTest : public testing::Test
{
protected:
    AttemptTracker sent(const AttemptPolicy &policy)
    {
        AttemptTracker tracker(policy, m_budget);
        tracker.start();
        tracker.noteSent(1, firstServer);
        return tracker;
    }

    RetryBudget m_budget{0.1, 10, 10};
};

template<typename Action>
const Action *find(const AttemptActions &actions)
{
    for (const AttemptAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

TEST(AttemptTrackerProperty, theCallerSeesOneWholeStreamOrOneErrorAndNothingRunsTwiceThatMayNot)
{
    EXPECT_TRUE(rc::check("random event orders", [](bool isIdempotent, const std::vector<std::uint32_t> &numbers) {
        World world(isIdempotent);
        for (const std::uint32_t number : numbers) {
            world.play(stepOf(number), number / 64);
            world.check();
        }
    }));
}

TEST_F(TrackerTest, resumesAnIdempotentRequestElsewhereAfterTheTokensDelivered)
{
    AttemptTracker tracker = sent({});
    tracker.noteFrame(1, 1, "ab", 2);
    const AttemptActions actions = tracker.noteEnded(1, 2, AttemptEnd::EngineLost);
    ASSERT_NE(find<DispatchAttempt>(actions), nullptr);
    EXPECT_EQ(find<DispatchAttempt>(actions)->resumeTokens, 2U);
    EXPECT_EQ(tracker.excluded(), std::vector<BackendServerId>{firstServer});
}

TEST_F(TrackerTest, startsOverWhatCannotBeResumed)
{
    AttemptPolicy policy;
    policy.isResumable = false;
    AttemptTracker tracker = sent(policy);
    tracker.noteFrame(1, 1, "ab", 2);
    EXPECT_EQ(find<DispatchAttempt>(tracker.noteAgentLost(1))->resumeTokens, 0U);
}

TEST_F(TrackerTest, dispatchesANonIdempotentRequestAgainOnlyAfterATruthfulRefusal)
{
    AttemptPolicy policy;
    policy.isIdempotent = false;
    AttemptTracker refused = sent(policy);
    EXPECT_NE(find<DispatchAttempt>(refused.noteRefused(1, AttemptRefusal::QueueFull, 0ms)), nullptr);
    AttemptTracker duplicate = sent(policy);
    const AttemptActions actions = duplicate.noteRefused(1, AttemptRefusal::Duplicate, 0ms);
    ASSERT_NE(find<FailRequest>(actions), nullptr);
    EXPECT_EQ(find<FailRequest>(actions)->run, RunState::Unknown);
    EXPECT_EQ(find<FailRequest>(actions)->retryAfter, std::nullopt);
}

TEST_F(TrackerTest, losesTheAttemptAtAGapInItsFrames)
{
    AttemptTracker tracker = sent({});
    tracker.noteFrame(1, 1, "a", 1);
    const AttemptActions actions = tracker.noteFrame(1, 3, "c", 1);
    EXPECT_NE(find<CancelAttempt>(actions), nullptr);
    EXPECT_EQ(find<DispatchAttempt>(actions)->resumeTokens, 1U);
    EXPECT_TRUE(tracker.noteFrame(1, 2, "b", 1).empty());
}

TEST_F(TrackerTest, finishesWhereOnlyTheEndWasLostAfterTheLastToken)
{
    AttemptPolicy policy;
    policy.maximumTokens = 1;
    AttemptTracker tracker = sent(policy);
    tracker.noteFrame(1, 1, "a", 1);
    EXPECT_NE(find<FinishRequest>(tracker.noteAgentLost(1)), nullptr);
}

TEST_F(TrackerTest, givesUpAtOnceWithAnAdviceWhenTheRetryBudgetIsEmpty)
{
    while (m_budget.tryTake()) {
    }
    AttemptTracker tracker = sent({});
    const AttemptActions actions = tracker.noteRefused(1, AttemptRefusal::Overload, 7ms);
    ASSERT_NE(find<FailRequest>(actions), nullptr);
    EXPECT_EQ(find<FailRequest>(actions)->run, RunState::NotRun);
    EXPECT_EQ(find<FailRequest>(actions)->retryAfter, 7ms);
}

// A router that is killed again and again while backend servers fail would get all that can be saved up with each start.
TEST(RetryBudgetTest, givesLittleAnewWithEachStart)
{
    int taken = 0;
    for (int start = 0; start < 5; ++start) {
        RetryBudget budget(0.1, 200, 10);
        while (budget.tryTake()) {
            ++taken;
        }
    }
    EXPECT_EQ(taken, 50);
}

TEST(RetryBudgetTest, isAFractionOfSuccessesAndBounded)
{
    RetryBudget budget(0.5, 2, 2);
    EXPECT_TRUE(budget.tryTake());
    EXPECT_TRUE(budget.tryTake());
    EXPECT_FALSE(budget.tryTake());
    budget.noteSuccess();
    EXPECT_FALSE(budget.tryTake());
    budget.noteSuccess();
    EXPECT_TRUE(budget.tryTake());
    for (int i = 0; i < 100; ++i) {
        budget.noteSuccess();
    }
    EXPECT_EQ(budget.available(), 2);
}

} // namespace Verbena::Decisions
