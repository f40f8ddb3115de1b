#include <operator/settingseditor.h>
#include <operator/treetext.h>
#include <standin/memoryplatform.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::Operator {

namespace {

using namespace std::chrono_literals;

const std::string base = R"(models: {analyst: {weights_version: "7", adapters: [wall]}}
organisations:
  kessick: {share: 4, teams: {dams: {share: 1, models: [analyst]}, quarry: {share: 2}}}
)";

// One operator at its own terminal, on a platform that all share.
class Terminal
{
public:
    explicit Terminal(Standin::MemoryPlatform &platform, const OperatorIdentity &identity = {})
        : m_platform(platform)
        , m_table(platform,
              {[&platform] { return platform.now(); },
                  [&platform](const bool &isDone) {
                      while (!isDone) {
                          platform.advanceTo(platform.nextEvent().value());
                      }
                  }},
              2s)
        , m_editor(m_table, identity)
        , m_author(identity.name)
    {
    }

    Core::Result<CheckedChange> check(const std::string &yaml, std::vector<std::string> pruned = {})
    {
        VERBENA_TRY(files, SettingsTree::TreeFiles::readTexts({{"change.yaml", yaml}}));
        return m_editor.check({files.rows(), std::move(pruned)}, &files);
    }

    EditResult apply(const CheckedChange &change, const std::string &id)
    {
        return m_editor.apply(change, {m_author, Core::WallTime(1'000'000s), id});
    }

    EditResult apply(const std::string &yaml, const std::string &id, std::vector<std::string> pruned = {})
    {
        const auto change = check(yaml, std::move(pruned));
        EXPECT_TRUE(change) << change.error().toString();
        return change ? apply(change.value(), id) : EditResult{EditOutcome::NotSent, 0, change.error().toString()};
    }

    Decisions::SettingsStore tree()
    {
        return m_table.readTree().value();
    }

    std::vector<HistoryEntry> history(const std::string &path)
    {
        return ChangeHistory(m_table).entries(path).value();
    }

    Standin::PlatformState &state()
    {
        return m_platform.state();
    }

private:
    Standin::MemoryPlatform &m_platform;
    TreeTable m_table;
    SettingsEditor m_editor;
    std::string m_author;
};

class SettingsEditorTest : public testing::Test
{
protected:
    Standin::MemoryPlatform m_platform{Core::TimePoint(1h), 10ms};
    Terminal m_anna{m_platform, {"anna", ""}};
    Terminal m_binu{m_platform, {"binu", ""}};
};

const std::string dams = "settings/organisations/kessick/teams/dams";

TEST_F(SettingsEditorTest, applyIsRepeatable)
{
    EXPECT_EQ(m_anna.apply(base, "1").outcome, EditOutcome::Applied);
    const EditResult again = m_anna.apply(base, "2");
    EXPECT_EQ(again.outcome, EditOutcome::Unchanged);
    EXPECT_EQ(m_anna.apply(renderTree(m_anna.tree(), ""), "3").outcome, EditOutcome::Unchanged);
    EXPECT_EQ(m_anna.history(dams).size(), 1U);
}

TEST_F(SettingsEditorTest, ofTwoRacingOperatorsOneWinsAndTheOtherIsToldWho)
{
    m_anna.apply(base, "1");
    const auto first = m_anna.check("organisations: {kessick: {teams: {dams: {share: 5, models: [analyst]}}}}");
    const auto second = m_binu.check("organisations: {kessick: {teams: {dams: {share: 9, models: [analyst]}, quarry: {share: 9}}}}");
    ASSERT_TRUE(first && second);
    EXPECT_EQ(m_anna.apply(first.value(), "2").outcome, EditOutcome::Applied);
    const EditResult lost = m_binu.apply(second.value(), "3");
    EXPECT_EQ(lost.outcome, EditOutcome::Conflict);
    EXPECT_NE(lost.report.find(dams + " was changed by anna at 1970-01-12T13:46:40Z"), std::string::npos) << lost.report;
    EXPECT_NE(lost.report.find("share: 5.0 -> 9.0"), std::string::npos) << lost.report;
    // Nothing of the change that lost is there, not even its other row.
    EXPECT_NE(renderTree(m_binu.tree(), "organisations/kessick/teams/quarry").find("\"share\":2.0"), std::string::npos);
}

TEST_F(SettingsEditorTest, racesOnOtherRowsDoNotDisturb)
{
    m_anna.apply(base, "1");
    const auto first = m_anna.check("organisations: {kessick: {teams: {dams: {share: 5}}}}");
    const auto second = m_binu.check("organisations: {kessick: {teams: {quarry: {share: 9}}}}");
    EXPECT_EQ(m_anna.apply(first.value(), "2").outcome, EditOutcome::Applied);
    EXPECT_EQ(m_binu.apply(second.value(), "3").outcome, EditOutcome::Applied);
}

TEST_F(SettingsEditorTest, lostAnswersAreSettledTruly)
{
    EXPECT_TRUE(rc::check("what the report says is what the table holds", [] {
        Standin::MemoryPlatform shared(Core::TimePoint(1h), 10ms);
        Terminal one(shared, {"one", ""});
        Terminal other(shared, {"other", ""});
        one.apply(base, "base");
        for (int step = 1; step <= 6; ++step) {
            const std::string id = std::to_string(step);
            Terminal &author = *rc::gen::arbitrary<bool>() ? one : other;
            const auto change = author.check("organisations: {kessick: {teams: {dams: {share: " + id + "}}}}");
            if (*rc::gen::inRange(0, 3) == 0) {
                (&author == &one ? other : one).apply("organisations: {kessick: {teams: {dams: {share: 100}}}}", "racer" + id);
            }
            Standin::PlatformFaults faults;
            faults.lostAnswers = *rc::gen::inRange(0U, 6U);
            faults.lostRequests = *rc::gen::inRange(0U, 6U);
            shared.state().setFaults(faults);
            const EditResult result = author.apply(change.value(), id);
            shared.state().setFaults({});
            bool isInHistory = false;
            for (const HistoryEntry &entry : one.history(dams)) {
                if (entry.changeId == id) {
                    isInHistory = true;
                    RC_ASSERT(result.outcome == EditOutcome::Unknown || result.revision == entry.revision);
                }
            }
            RC_ASSERT(result.outcome == EditOutcome::Unknown || (result.outcome == EditOutcome::Applied) == isInHistory);
        }
    }));
}

TEST_F(SettingsEditorTest, deletesASubtreeAndKeepsItDeletedAgainstAnOldPlan)
{
    m_anna.apply(base, "1");
    const auto old = m_binu.check("organisations: {kessick: {teams: {dams: {share: 3, models: [analyst]}}}}");
    EXPECT_EQ(m_anna.apply("", "2", {"organisations/kessick/teams/dams"}).outcome, EditOutcome::Applied);
    const EditResult late = m_binu.apply(old.value(), "3");
    EXPECT_EQ(late.outcome, EditOutcome::Conflict);
    EXPECT_TRUE(m_anna.tree().row(dams)->isDeleted);
    EXPECT_TRUE(m_anna.history(dams).back().isDeleted);
}

TEST_F(SettingsEditorTest, theWholeTreeIsCheckedWithWhatTheTableHolds)
{
    m_anna.apply(base, "1");
    const auto refused = m_anna.check("organisations:\n  kessick:\n    teams:\n      dams: {models: [ghost]}\n");
    ASSERT_FALSE(refused);
    EXPECT_NE(refused.error().message.find("change.yaml:4: organisations.kessick.teams.dams.models"), std::string::npos) << refused.error().message;
    // Who takes a model away hears of the teams elsewhere that call it.
    const auto dangling = m_anna.check("", {"models/analyst"});
    ASSERT_FALSE(dangling);
    EXPECT_NE(dangling.error().message.find(dams), std::string::npos) << dangling.error().message;
}

TEST_F(SettingsEditorTest, operatorChangesOnlyWhatItWasGiven)
{
    const std::string operators = "operators:\n  council: {key: " + sha256Hex("secret") + ", subtrees: [organisations/kessick/teams]}\n  root: {key: "
        + sha256Hex("root secret") + ", subtrees: [models, services, backend_servers, organisations, operators]}\n";
    EXPECT_EQ(m_anna.apply(base + operators, "1").outcome, EditOutcome::Applied);
    Terminal council(m_platform, {"council", "secret"});
    Terminal impostor(m_platform, {"council", "guess"});
    Terminal root(m_platform, {"root", "root secret"});
    const std::string ownTeam = "organisations: {kessick: {teams: {dams: {share: 7}}}}";
    const std::string ownShare = "organisations: {kessick: {share: 1000}}";
    EXPECT_TRUE(council.check(ownTeam));
    EXPECT_EQ(council.check(ownShare).error().code, Core::ErrorCode::PermissionDenied);
    EXPECT_EQ(council.check("models: {analyst: {}}", {}).error().code, Core::ErrorCode::PermissionDenied);
    EXPECT_EQ(impostor.check(ownTeam).error().code, Core::ErrorCode::PermissionDenied);
    EXPECT_EQ(m_anna.check(ownTeam).error().code, Core::ErrorCode::PermissionDenied);
    EXPECT_TRUE(root.check(ownShare));
}

TEST_F(SettingsEditorTest, historyKeepsTheLastChangesOnly)
{
    m_anna.apply(base, "base");
    for (std::size_t i = 1; i <= ChangeHistory::entriesPerRow + 5; ++i) {
        m_anna.apply("organisations: {kessick: {teams: {dams: {share: " + std::to_string(i + 1) + "}}}}", std::to_string(i));
    }
    const auto entries = m_anna.history(dams);
    ASSERT_EQ(entries.size(), ChangeHistory::entriesPerRow);
    EXPECT_EQ(entries.front().changeId, "6");
    EXPECT_EQ(entries.back().changeId, "21");
    EXPECT_EQ(entries.back().revision, m_anna.tree().row(dams)->revision);
}

TEST_F(SettingsEditorTest, outageChangesNothingAndSaysSo)
{
    m_anna.apply(base, "1");
    const auto change = m_anna.check("organisations: {kessick: {teams: {dams: {share: 5}}}}");
    Standin::PlatformFaults faults;
    faults.outage = Standin::Outage::Refusing;
    m_platform.state().setFaults(faults);
    EXPECT_EQ(m_anna.apply(change.value(), "2").outcome, EditOutcome::NotSent);
    m_platform.state().setFaults({});
    EXPECT_EQ(m_anna.history(dams).size(), 1U);
}

} // namespace

} // namespace Verbena::Operator
