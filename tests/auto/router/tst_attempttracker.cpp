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

/// An attempt from the view of its agent.
struct AgentAttempt
{
    std::uint32_t resumeTokens = 0;
    std::uint64_t sent = 0; ///< Number of frames sent so far.
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
    DisconnectCaller,
};

/// Simulates agents, network and caller for one tracker, and records what the caller received.
class TrackerSimulation
{
public:
    explicit TrackerSimulation(bool isIdempotent)
        : m_isIdempotent(isIdempotent)
        , m_budget(0.1, 100, 100)
        , m_tracker(policy(isIdempotent), m_budget)
    {
        apply(m_tracker.start());
    }

    // Steps of an attempt apply to any attempt so far, so that late messages of earlier attempts arrive in between.
    void runStep(Step step, std::uint32_t choice)
    {
        const std::uint32_t current = m_tracker.attempt();
        const std::uint32_t attempt = 1 + choice % current;
        AgentAttempt &agent = m_agents[attempt];
        switch (step) {
        case Step::Send:
            if (m_tracker.state() == AttemptState::NotSent) {
                m_tracker.markSent(m_tracker.attempt(), BackendServerId{m_tracker.attempt()});
                m_agents[m_tracker.attempt()].isReceived = true;
            }
            break;
        case Step::CannotSend:
            apply(m_tracker.handleNotSent(m_tracker.attempt(), BackendServerId{m_tracker.attempt()}));
            break;
        case Step::NoCandidate:
            apply(m_tracker.handleNoCandidate());
            break;
        case Step::LoseAgent:
            applyFrom(attempt, current, m_tracker.handleAgentLost(attempt));
            break;
        case Step::Deadline:
            apply(m_tracker.handleDeadline());
            break;
        case Step::DisconnectCaller:
            apply(m_tracker.handleCallerGone());
            m_hasCallerLeft = true;
            break;
        default:
            if (agent.isReceived && !agent.isOver) {
                runAgentStep(step, attempt, agent);
            }
        }
    }

    void check() const
    {
        RC_ASSERT(wholeText().starts_with(m_deliveredText));
        RC_ASSERT(m_finishCount + m_failureCount <= 1);
        RC_ASSERT(m_finishCount == 0 || m_deliveredText == wholeText());
        const bool isAnswered = m_finishCount + m_failureCount == 1;
        RC_ASSERT((m_tracker.state() == AttemptState::Ended) == (isAnswered || m_hasCallerLeft));
        std::size_t possiblyRun = 0;
        std::size_t run = 0;
        for (const auto &[attempt, agent] : m_agents) {
            possiblyRun += agent.isReceived && !agent.isRefused ? 1 : 0;
            run += agent.hasRun ? 1 : 0;
        }
        RC_ASSERT(m_isIdempotent || possiblyRun <= 1);
        RC_ASSERT(m_failedRunState != RunState::NotRun || possiblyRun == 0);
        RC_ASSERT(m_failedRunState != RunState::Run || run > 0);
    }

private:
    static AttemptPolicy policy(bool isIdempotent)
    {
        AttemptPolicy policy;
        policy.isIdempotent = isIdempotent;
        policy.maximumTokens = answerTokens;
        return policy;
    }

    void runAgentStep(Step step, std::uint32_t attempt, AgentAttempt &agent)
    {
        const std::uint32_t left = answerTokens - agent.resumeTokens;
        const std::uint32_t current = m_tracker.attempt();
        if (step == Step::Admit) {
            m_tracker.markAdmitted(attempt);
        } else if (step == Step::Refuse && !agent.hasRun) {
            agent.isRefused = true;
            agent.isOver = true;
            applyFrom(attempt, current, m_tracker.handleRefusal(attempt, AttemptRefusal::QueueFull, 5ms));
        } else if (step == Step::RefuseAsDuplicate) {
            applyFrom(attempt, current, m_tracker.handleRefusal(attempt, AttemptRefusal::Duplicate, 0ms));
        } else if (step == Step::NextFrame && agent.sent < left) {
            agent.hasRun = true;
            ++agent.sent;
            sendFrame(attempt, agent, agent.sent);
        } else if (step == Step::RepeatFrame && agent.sent > 0) {
            sendFrame(attempt, agent, agent.sent);
        } else if (step == Step::SkipFrame && agent.sent < left) {
            agent.hasRun = true;
            ++agent.sent;
        } else if (step == Step::Complete && agent.sent == left) {
            agent.hasRun = true;
            agent.isOver = true;
            applyFrom(attempt, current, m_tracker.handleEnd(attempt, agent.sent + 1, AttemptEnd::Complete));
        } else if (step == Step::LoseEngine) {
            agent.isOver = true;
            applyFrom(attempt, current, m_tracker.handleEnd(attempt, agent.sent + 1, AttemptEnd::EngineLost));
        }
    }

    void sendFrame(std::uint32_t attempt, const AgentAttempt &agent, std::uint64_t sequence)
    {
        const std::string text = tokenText(agent.resumeTokens + static_cast<std::uint32_t>(sequence) - 1);
        const std::uint32_t current = m_tracker.attempt();
        applyFrom(attempt, current, m_tracker.handleFrame(attempt, sequence, text, 1));
    }

    // Late messages of earlier attempts must have no effect.
    void applyFrom(std::uint32_t attempt, std::uint32_t current, const AttemptActions &actions)
    {
        RC_ASSERT(attempt == current || actions.empty());
        apply(actions);
    }

    void apply(const AttemptActions &actions)
    {
        for (const AttemptAction &action : actions) {
            RC_ASSERT(m_finishCount + m_failureCount == 0U);
            if (const auto *deliver = std::get_if<DeliverText>(&action)) {
                m_deliveredText += deliver->text;
            } else if (const auto *dispatch = std::get_if<DispatchAttempt>(&action)) {
                RC_ASSERT(dispatch->attempt == m_tracker.attempt());
                RC_ASSERT(dispatch->resumeTokens == m_deliveredText.size());
                m_agents[dispatch->attempt].resumeTokens = dispatch->resumeTokens;
            } else if (std::holds_alternative<FinishRequest>(action)) {
                ++m_finishCount;
            } else if (const auto *fail = std::get_if<FailRequest>(&action)) {
                ++m_failureCount;
                m_failedRunState = fail->run;
            }
        }
    }

    bool m_isIdempotent;
    RetryBudget m_budget;
    AttemptTracker m_tracker;
    std::map<std::uint32_t, AgentAttempt> m_agents;
    std::string m_deliveredText;
    unsigned m_finishCount = 0;
    unsigned m_failureCount = 0;
    bool m_hasCallerLeft = false;
    std::optional<RunState> m_failedRunState;
};

// Frames are more frequent than other steps, as in real traffic; otherwise few sequences would deliver many frames.
Step stepOf(std::uint32_t number)
{
    constexpr std::uint32_t frameWeight = 8;
    constexpr auto stepCount = static_cast<std::uint32_t>(Step::DisconnectCaller) + 1;
    const std::uint32_t choice = number % (stepCount + frameWeight);
    return choice < stepCount ? static_cast<Step>(choice) : choice % 2 == 0 ? Step::NextFrame : Step::Send;
}

class AttemptTrackerTest : public testing::Test
{
protected:
    AttemptTracker sentTracker(const AttemptPolicy &policy)
    {
        AttemptTracker tracker(policy, m_budget);
        tracker.start();
        tracker.markSent(1, firstServer);
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

TEST(AttemptTrackerProperty, callerGetsOneWholeAnswerOrOneErrorAndNonIdempotentRequestsRunAtMostOnce)
{
    EXPECT_TRUE(rc::check("random event orders", [](bool isIdempotent, const std::vector<std::uint32_t> &numbers) {
        TrackerSimulation simulation(isIdempotent);
        for (const std::uint32_t number : numbers) {
            simulation.runStep(stepOf(number), number / 64);
            simulation.check();
        }
    }));
}

TEST_F(AttemptTrackerTest, resumesAnIdempotentRequestAfterTheDeliveredTokens)
{
    AttemptTracker tracker = sentTracker({});
    tracker.handleFrame(1, 1, "ab", 2);
    const AttemptActions actions = tracker.handleEnd(1, 2, AttemptEnd::EngineLost);
    ASSERT_NE(find<DispatchAttempt>(actions), nullptr);
    EXPECT_EQ(find<DispatchAttempt>(actions)->resumeTokens, 2U);
    EXPECT_EQ(tracker.excluded(), std::vector<BackendServerId>{firstServer});
}

TEST_F(AttemptTrackerTest, startsOverIfTheRequestIsNotResumable)
{
    AttemptPolicy policy;
    policy.isResumable = false;
    AttemptTracker tracker = sentTracker(policy);
    tracker.handleFrame(1, 1, "ab", 2);
    EXPECT_EQ(find<DispatchAttempt>(tracker.handleAgentLost(1))->resumeTokens, 0U);
}

TEST_F(AttemptTrackerTest, retriesANonIdempotentRequestOnlyAfterADefiniteRefusal)
{
    AttemptPolicy policy;
    policy.isIdempotent = false;
    AttemptTracker refused = sentTracker(policy);
    EXPECT_NE(find<DispatchAttempt>(refused.handleRefusal(1, AttemptRefusal::QueueFull, 0ms)), nullptr);
    AttemptTracker duplicate = sentTracker(policy);
    const AttemptActions actions = duplicate.handleRefusal(1, AttemptRefusal::Duplicate, 0ms);
    ASSERT_NE(find<FailRequest>(actions), nullptr);
    EXPECT_EQ(find<FailRequest>(actions)->run, RunState::Unknown);
    EXPECT_EQ(find<FailRequest>(actions)->retryAfter, std::nullopt);
}

TEST_F(AttemptTrackerTest, abandonsTheAttemptAtAGapInItsFrames)
{
    AttemptTracker tracker = sentTracker({});
    tracker.handleFrame(1, 1, "a", 1);
    const AttemptActions actions = tracker.handleFrame(1, 3, "c", 1);
    EXPECT_NE(find<CancelAttempt>(actions), nullptr);
    EXPECT_EQ(find<DispatchAttempt>(actions)->resumeTokens, 1U);
    EXPECT_TRUE(tracker.handleFrame(1, 2, "b", 1).empty());
}

TEST_F(AttemptTrackerTest, finishesIfOnlyTheEndAfterTheLastTokenWasLost)
{
    AttemptPolicy policy;
    policy.maximumTokens = 1;
    AttemptTracker tracker = sentTracker(policy);
    tracker.handleFrame(1, 1, "a", 1);
    EXPECT_NE(find<FinishRequest>(tracker.handleAgentLost(1)), nullptr);
}

TEST_F(AttemptTrackerTest, failsWithRetryAdviceIfTheRetryBudgetIsEmpty)
{
    while (m_budget.tryConsume()) {
    }
    AttemptTracker tracker = sentTracker({});
    const AttemptActions actions = tracker.handleRefusal(1, AttemptRefusal::Overload, 7ms);
    ASSERT_NE(find<FailRequest>(actions), nullptr);
    EXPECT_EQ(find<FailRequest>(actions)->run, RunState::NotRun);
    EXPECT_EQ(find<FailRequest>(actions)->retryAfter, 7ms);
}

// A router that is killed repeatedly while backend servers fail would otherwise get its full retry capacity with each start.
TEST(RetryBudgetTest, grantsFewRetriesAtEachStart)
{
    int consumed = 0;
    for (int start = 0; start < 5; ++start) {
        RetryBudget budget(0.1, 200, 10);
        while (budget.tryConsume()) {
            ++consumed;
        }
    }
    EXPECT_EQ(consumed, 50);
}

TEST(RetryBudgetTest, isAFractionOfSuccessesAndBounded)
{
    RetryBudget budget(0.5, 2, 2);
    EXPECT_TRUE(budget.tryConsume());
    EXPECT_TRUE(budget.tryConsume());
    EXPECT_FALSE(budget.tryConsume());
    budget.recordSuccess();
    EXPECT_FALSE(budget.tryConsume());
    budget.recordSuccess();
    EXPECT_TRUE(budget.tryConsume());
    for (int i = 0; i < 100; ++i) {
        budget.recordSuccess();
    }
    EXPECT_EQ(budget.available(), 2);
}

} // namespace Verbena::Decisions
