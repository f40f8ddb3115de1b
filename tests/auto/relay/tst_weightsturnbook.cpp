#include "weightsfleet.h"

#include <decisions/relay/weightsturnbook.h>

#include <gtest/gtest.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;
const std::string model = "m";

std::map<std::string, WeightsGoal> goals(std::uint64_t version, Core::TimePoint namedAt, std::vector<WeightsHolder> holders)
{
    return {{model, {version, namedAt, std::move(holders)}}};
}

// An agent that starts with nothing and hears what is told at \a now.
Core::TimePoint loadTime(const std::vector<ToldTurn> &told, Core::TimePoint now)
{
    Core::TimePoint planned = Core::TimePoint::max();
    for (const ToldTurn &entry : told) {
        const Core::TimePoint namedAt = entry.age.has_value() ? now - *entry.age : Core::TimePoint::min();
        planned = weightsLoadTime(entry.turn, {}, {namedAt, now}, planned);
    }
    return planned;
}

// A router that starts reads which weights are named before it reads who serves the model. It kept the turns that it worked out by then, which were none, and
// told all agents so, upon which nine engines loaded in the same millisecond and none was left to serve:
//   weights_planned version=2 engines=0 before=0 in_ms=0
TEST(WeightsTurnBookTest, tellsNothingUntilTheRegisterIsKnown)
{
    WeightsTurnBook book;
    book.follow(goals(2, start, {}));
    EXPECT_TRUE(book.turns(model, "0", 1, start).empty());
    book.follow(goals(2, start, fleet(9)));
    std::map<Core::TimePoint, int> groups;
    for (const WeightsHolder &holder : fleet(9)) {
        const std::vector<ToldTurn> told = book.turns(model, holder.id, 1, start + 300ms);
        ASSERT_EQ(told.size(), 1U);
        EXPECT_EQ(told.front().version, 2U);
        EXPECT_EQ(told.front().turn.engines, 9U);
        ++groups[loadTime(told, start + 300ms)];
    }
    EXPECT_EQ(groups.size(), 3U);
}

// Turns were worked out once for each version, so that an engine that joined later had none and loaded at once. Working them out anew for all would put
// back those that wait whenever one joins.
TEST(WeightsTurnBookTest, givesAnEngineThatJoinsATurnAndTheOthersKeepTheirs)
{
    WeightsTurnBook book;
    book.follow(goals(2, start, fleet(9)));
    std::map<std::string, Core::TimePoint> planned;
    for (const WeightsHolder &holder : fleet(9)) {
        planned[holder.id] = loadTime(book.turns(model, holder.id, 1, start), start);
    }
    EXPECT_TRUE(book.turns(model, "15", 1, start).empty());
    book.follow(goals(2, start, fleet(20)));
    for (const auto &[id, moment] : planned) {
        EXPECT_EQ(loadTime(book.turns(model, id, 1, start + 1s), start + 1s), moment) << id;
    }
    const WeightsPace pace;
    for (const WeightsHolder &holder : fleet(20)) {
        EXPECT_LE(loadTime(book.turns(model, holder.id, 1, start + 1s), start + 1s) + pace.loadTime, start + pace.notice + pace.spread);
    }
}

// Agents were killed 0.9, 3.0 and 4.5 s after a naming at 20.0 s, and each time planned 4.7 s from when they heard of it: the last engine would have loaded
// at 30.7 s instead of 24.8 s, beyond the 8 s for which old weights may be used.
TEST(WeightsTurnBookTest, leadsAnAgentThatStartsAgainToTheSameTurn)
{
    WeightsTurnBook book;
    book.follow(goals(2, start, fleet(9)));
    for (const WeightsHolder &holder : fleet(9)) {
        const Core::TimePoint planned = loadTime(book.turns(model, holder.id, 1, start), start);
        for (const auto later : {1650ms, 3750ms, 5250ms}) {
            EXPECT_EQ(loadTime(book.turns(model, holder.id, 1, start + later), start + later), planned);
        }
    }
}

// The engine keeps the turn of the version before; so must one whose agent starts again in the meantime, also after several versions.
TEST(WeightsTurnBookTest, tellsTheTurnThatAnEngineKeepsOfEarlierWeights)
{
    WeightsTurnBook book;
    book.follow(goals(2, start, fleet(9)));
    std::map<std::string, Core::TimePoint> planned;
    for (const WeightsHolder &holder : fleet(9)) {
        planned[holder.id] = loadTime(book.turns(model, holder.id, 1, start), start);
    }
    book.follow(goals(3, start + 1s, fleet(9)));
    book.follow(goals(4, start + 2s, fleet(9)));
    const Core::TimePoint now = start + 2500ms;
    for (const WeightsHolder &holder : fleet(9)) {
        const std::vector<ToldTurn> told = book.turns(model, holder.id, 1, now);
        ASSERT_EQ(told.size(), 2U);
        EXPECT_EQ(told.front().version, 2U);
        EXPECT_EQ(told.back().version, 4U);
        EXPECT_LE(loadTime(told, now), planned[holder.id]);
        // Once it has them, only the next ones count.
        const std::vector<ToldTurn> after = book.turns(model, holder.id, 2, now);
        ASSERT_EQ(after.size(), 1U);
        EXPECT_EQ(after.back().version, 4U);
    }
}

// The router may not know since when, or learn it later.
TEST(WeightsTurnBookTest, tellsNoAgeThatItDoesNotKnow)
{
    WeightsTurnBook book;
    book.follow(goals(2, Core::TimePoint::min(), fleet(9)));
    EXPECT_FALSE(book.turns(model, "0", 1, start).front().age.has_value());
    book.follow(goals(2, start - 2s, fleet(9)));
    EXPECT_EQ(book.turns(model, "0", 1, start).front().age, std::optional(std::chrono::microseconds(2s)));
    // A naming that is dated a little ahead of this router's clock.
    EXPECT_EQ(book.turns(model, "0", 1, start - 3s).front().age, std::optional(std::chrono::microseconds(0)));
}

TEST(WeightsTurnBookTest, forgetsEnginesThatAreGoneWithTheNextVersion)
{
    WeightsTurnBook book;
    book.follow(goals(2, start, fleet(9)));
    book.follow(goals(3, start + 9s, fleet(4, 2)));
    EXPECT_TRUE(book.turns(model, "8", 1, start + 9s).empty());
    EXPECT_EQ(book.turns(model, "3", 2, start + 9s).size(), 1U);
}

} // namespace

} // namespace Verbena::Decisions
