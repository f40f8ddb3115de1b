#include <decisions/spread/settingsstore.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

namespace Verbena::Decisions {

namespace {

using State = std::map<std::string, SettingsRow>;

// Simulates the table with all its past states.
struct History
{
    std::vector<State> states{State()};

    void commit()
    {
        State next = states.back();
        const auto writes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < writes; ++i) {
            const std::string path = "p" + std::to_string(*rc::gen::inRange(0, 6));
            const bool isDeleted = *rc::gen::inRange(0, 4) == 0;
            next[path] = {path, isDeleted ? "" : "v" + std::to_string(states.size()), states.size(), isDeleted};
        }
        states.push_back(next);
    }

    SettingsDelta delta(std::uint64_t since, std::uint64_t revision) const
    {
        SettingsDelta delta{since, revision, revision, {}, false};
        for (std::uint64_t commit = since + 1; commit <= revision; ++commit) {
            for (const auto &[path, row] : states[revision]) {
                if (row.revision == commit) {
                    delta.rows.push_back(row);
                }
            }
        }
        return delta;
    }
};

State stateOf(const SettingsStore &store)
{
    State state;
    for (const SettingsRow &row : store.everything().rows) {
        state[row.path] = row;
    }
    return state;
}

// Returns the delta without the commits after the revision covered.
SettingsDelta truncated(SettingsDelta delta, std::uint64_t covered)
{
    std::erase_if(delta.rows, [covered](const SettingsRow &row) { return row.revision > covered; });
    delta.covered = covered;
    return delta;
}

TEST(SettingsStoreTest, alwaysHoldsOnePastStateOfTheTable)
{
    EXPECT_TRUE(rc::check("any order of deltas from any senders", [] {
        History history;
        const int commits = *rc::gen::inRange(1, 12);
        for (int i = 0; i < commits; ++i) {
            history.commit();
        }
        const std::uint64_t last = history.states.size() - 1;
        SettingsStore store;
        State before;
        std::uint64_t revision = 0;
        const int steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            const auto holder = *rc::gen::inRange<std::uint64_t>(0, last + 1);
            const auto since = *rc::gen::inRange<std::uint64_t>(0, holder + 1);
            const auto covered = *rc::gen::inRange<std::uint64_t>(since, holder + 1);
            const bool isWhole = *rc::gen::arbitrary<bool>();
            const SettingsDelta delta = history.delta(since, holder);
            const MergeResult result = store.merge(isWhole ? delta : truncated(delta, covered));
            RC_ASSERT(store.revision() >= revision);
            RC_ASSERT((result.outcome == MergeOutcome::Advanced) == (store.revision() > revision));
            RC_ASSERT(stateOf(store) == history.states[store.revision()]);
            for (const SettingsRow &row : result.changed) {
                before[row.path] = row;
            }
            RC_ASSERT(before == history.states[store.revision()]);
            revision = store.revision();
        }
        store.abandonCatchUp();
        store.merge(history.delta(store.cursor(), last));
        RC_ASSERT(stateOf(store) == history.states[last]);
    }));
}

TEST(SettingsStoreTest, deltasMatchAReferenceAndPagesNeverSeparateCommits)
{
    EXPECT_TRUE(rc::check("a store that receives all pages of another ends in the same state", [] {
        History history;
        SettingsStore holder;
        const int commits = *rc::gen::inRange(1, 30);
        for (int i = 0; i < commits; ++i) {
            history.commit();
            if (*rc::gen::arbitrary<bool>()) {
                holder.merge(history.delta(holder.cursor(), history.states.size() - 1));
            }
        }
        const auto since = *rc::gen::inRange<std::uint64_t>(0, holder.revision() + 1);
        RC_ASSERT(holder.deltaSince(since, SIZE_MAX).rows == history.delta(since, holder.revision()).rows);
        const auto pageBytes = *rc::gen::inRange<std::size_t>(0, 200);
        SettingsStore receiver;
        for (std::uint64_t page = 0; page <= holder.revision() && receiver.revision() < holder.revision(); ++page) {
            const SettingsDelta delta = holder.deltaSince(receiver.cursor(), pageBytes);
            RC_ASSERT(delta.covered > receiver.cursor());
            receiver.merge(delta);
        }
        RC_ASSERT(receiver.revision() == holder.revision());
        RC_ASSERT(receiver.hash() == holder.hash());
        RC_ASSERT(stateOf(receiver) == stateOf(holder));
    }));
}

TEST(SettingsStoreTest, peerDeltaNeverCompletesPagesOfTheTable)
{
    // The page was read when "a" was already at revision 9, so it lacks the change of "a" at revision 2. The delta of the peer at revision 5
    // starts after that change and lacks it, too.
    SettingsStore store;
    EXPECT_EQ(store.merge({0, 3, 4, {{"b", "v", 3, false}}, true}).outcome, MergeOutcome::Continued);
    EXPECT_EQ(store.merge({3, 5, 5, {{"c", "v", 5, false}}, false}).outcome, MergeOutcome::Continued);
    EXPECT_EQ(store.revision(), 0U);
    EXPECT_EQ(store.merge({3, 9, 9, {{"c", "v", 5, false}, {"a", "w", 9, false}}, true}).outcome, MergeOutcome::Advanced);
    EXPECT_EQ(store.rowCount(), 3U);
}

TEST(SettingsStoreTest, refusesInconsistentDeltas)
{
    SettingsStore store;
    EXPECT_EQ(store.merge({5, 9, 9, {}, false}).outcome, MergeOutcome::Gap);
    EXPECT_EQ(store.merge({0, 9, 3, {}, true}).outcome, MergeOutcome::Gap);
    EXPECT_EQ(store.merge({0, 2, 2, {{"p", "v", 3, false}}, false}).outcome, MergeOutcome::Gap);
    EXPECT_EQ(store.revision(), 0U);
    EXPECT_TRUE(rc::check("damaged deltas never decrease the revision", [] {
        SettingsStore damaged;
        std::uint64_t revision = 0;
        for (int i = 0; i < 20; ++i) {
            const auto number = rc::gen::inRange<std::uint64_t>(0, 8);
            SettingsDelta delta{*number, *number, *number, {}, *rc::gen::arbitrary<bool>()};
            delta.rows.push_back({"p", "v", *number, *rc::gen::arbitrary<bool>()});
            damaged.merge(delta);
            RC_ASSERT(damaged.revision() >= revision);
            revision = damaged.revision();
        }
    }));
}

} // namespace

} // namespace Verbena::Decisions
