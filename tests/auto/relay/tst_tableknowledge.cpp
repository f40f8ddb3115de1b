#include "tablemodel.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace rc {

template<>
struct Arbitrary<Verbena::Test::TableTrouble>
{
    static Gen<Verbena::Test::TableTrouble> arbitrary()
    {
        using Trouble = Verbena::Test::TableTrouble;
        return gen::build<Trouble>(gen::set(&Trouble::kind,
                                       gen::weightedElement<Trouble::Kind>({{2, Trouble::Kind::StoreSilentTo},
                                           {1, Trouble::Kind::StoreSpeaks},
                                           {1, Trouble::Kind::StoreFromThePast},
                                           {2, Trouble::Kind::StorePresent},
                                           {1, Trouble::Kind::StoreForgets},
                                           {2, Trouble::Kind::Dark},
                                           {2, Trouble::Kind::Light},
                                           {1, Trouble::Kind::Restart},
                                           {1, Trouble::Kind::WrongBelief},
                                           {8, Trouble::Kind::Change}})),
            gen::set(&Trouble::router, gen::inRange<std::size_t>(0, 9)));
    }
};

} // namespace rc

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;
using Store::RowPage;
using Store::StoreTime;
using Store::TableKnowledge;

constexpr std::size_t routers = 8;
constexpr std::chrono::milliseconds bound{3000};

RowPage said(StoreTime at, std::uint64_t revision, std::vector<Store::TableRow> rows = {})
{
    RowPage page{std::move(rows), revision, false};
    page.saidAt = at;
    return page;
}

TEST(TableKnowledgeTest, isNotTakenBackByAWholeTableThatWasOvertaken)
{
    TableKnowledge knowledge("t");
    EXPECT_EQ(knowledge.takeTable(said(StoreTime(1s), 5), 0), TableKnowledge::Verdict::Taken);
    RowPage news = said(StoreTime(3s), 9, {{"a", "2", 8, false}});
    EXPECT_EQ(knowledge.takeChanges(news, 5), TableKnowledge::Verdict::Taken);
    EXPECT_EQ(knowledge.takeTable(said(StoreTime(2s), 7), 5), TableKnowledge::Verdict::Overtaken);
    EXPECT_EQ(knowledge.takeTable(said(StoreTime(2s), 4), 5), TableKnowledge::Verdict::FromThePast);
    EXPECT_EQ(knowledge.revision(), 9U);
    EXPECT_EQ(knowledge.verifiedAt(), StoreTime(3s));
}

TEST(TableKnowledgeTest, dropsWhatIsKnownFromALateAnswer)
{
    TableKnowledge knowledge("t");
    knowledge.takeTable(said(StoreTime(1s), 5), 0);
    RowPage news = said(StoreTime(3s), 9, {{"a", "new", 8, false}});
    knowledge.takeChanges(news, 5);
    RowPage late = said(StoreTime(2s), 7, {{"a", "old", 6, false}});
    EXPECT_EQ(knowledge.takeChanges(late, 5), TableKnowledge::Verdict::Overtaken);
    EXPECT_TRUE(late.rows.empty());
    EXPECT_EQ(late.revision, 9U);
}

TEST(TableKnowledgeTest, isConfirmedOnlyByWhoKnowsNoChangeThatIsMissing)
{
    TableKnowledge knowledge("t");
    knowledge.takeTable(said(StoreTime(1s), 5), 0);
    EXPECT_EQ(knowledge.compare({"t", 6, 9, StoreTime(4s)}), TableKnowledge::Comparison::KnowsMore);
    EXPECT_FALSE(knowledge.confirm({"t", 6, 9, StoreTime(4s)}));
    EXPECT_EQ(knowledge.verifiedAt(), StoreTime(1s));
    EXPECT_TRUE(knowledge.confirm({"t", 5, 9, StoreTime(4s)}));
    EXPECT_EQ(knowledge.verifiedAt(), StoreTime(4s));
    EXPECT_EQ(knowledge.revision(), 9U);
    EXPECT_EQ(knowledge.compare({"t", 5, 9, StoreTime(3s)}), TableKnowledge::Comparison::Nothing);
}

// Who never read the table would take "nothing changed" for "there is nothing".
TEST(TableKnowledgeTest, isConfirmedByNobodyBeforeTheTableWasRead)
{
    TableKnowledge knowledge("t");
    EXPECT_FALSE(knowledge.confirm({"t", 0, 9, StoreTime(4s)}));
    EXPECT_FALSE(knowledge.verifiedAt().has_value());
}

// Whatever happens in whatever order, nobody takes for verified what is not so, and knowledge never goes back.
RC_GTEST_PROP(TableModelTest, neverClaimsMoreThanItKnows, ())
{
    const auto troubles = *rc::gen::container<std::vector<TableTrouble>>(rc::gen::arbitrary<TableTrouble>());
    TableModel model(routers, *rc::gen::arbitrary<std::uint64_t>());
    for (const TableTrouble &trouble : troubles) {
        model.apply(trouble);
        for (int step = 0; step < 6; ++step) {
            model.step();
            for (std::size_t index = 0; index < routers; ++index) {
                RC_ASSERT(model.isClaimTrue(index));
            }
        }
    }
}

// A router that can talk to others is current within the bound as soon as the store tells any one of them what is so now.
RC_GTEST_PROP(TableModelTest, isCurrentWithinTheBoundWhileAnyRouterHearsTheStore, ())
{
    const auto troubles = *rc::gen::container<std::vector<TableTrouble>>(rc::gen::arbitrary<TableTrouble>());
    TableModel model(routers, *rc::gen::arbitrary<std::uint64_t>());
    for (const TableTrouble &trouble : troubles) {
        model.apply(trouble);
        for (int step = 0; step < 6; ++step) {
            model.step();
            for (std::size_t index = 0; index < routers; ++index) {
                const auto served = model.servedFor(index);
                if (served.has_value() && *served > bound) {
                    RC_ASSERT(model.lag(index) <= bound);
                    RC_ASSERT(model.claimedAge(index).has_value());
                    RC_ASSERT(*model.claimedAge(index) <= bound);
                }
            }
        }
    }
}

} // namespace

} // namespace Verbena::Test
