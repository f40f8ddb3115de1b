#include <settingstree/staticsettingsview.h>
#include <settingstree/treefiles.h>
#include <support/temporaryfolder.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::SettingsTree {

namespace {

const std::string hashA(64, 'a');

const std::string wholeTree = R"(models:
  analyst: {weights_version: "7", adapters: [wall], replicas: 2}
services:
  register: {non_idempotent_calls: [append]}
backend_servers:
  e1: {endpoint: "tcp://10.0.0.1:7000", failure_domain: a, models: [analyst, "analyst:wall"], checks_fencing: true}
  r1: {endpoint: "tcp://10.0.0.2:7000", service: register, drained: true}
organisations:
  kessick:
    share: 4
    teams:
      dams: {share: 2, keys: [)"
    + hashA + R"(], models: [analyst], services: [register], classes: {urgent: 0, batch: 6}}
operators:
  council: {key: )"
    + std::string(64, 'c') + R"(, subtrees: [organisations/kessick/teams]}
)";

std::string problemsOf(const std::string &text)
{
    auto files = TreeFiles::readTexts({{"tree.yaml", text}});
    if (!files) {
        return files.error().message;
    }
    const auto whole = files.value().checkWhole(files.value().rows());
    return whole ? "" : whole.error().message;
}

TEST(TreeFilesTest, readsWholeTreeFromSeveralFiles)
{
    const Verbena::Test::TemporaryFolder folder;
    const std::string first = folder.write("tree.yaml", wholeTree);
    const std::string second = folder.write("team.yaml", "organisations: {kessick: {teams: {quarry: {models: [\"analyst:wall\"]}}}}\n");
    const auto view = StaticSettingsView::fromFiles({first, second});
    ASSERT_TRUE(view) << view.error().toString();
    const auto current = view.value()->current();
    const Settings::TeamSettings *dams = current->findTeam("kessick", "dams");
    ASSERT_NE(dams, nullptr);
    EXPECT_EQ(dams->share, 2);
    EXPECT_EQ(dams->classMarks.at("batch"), 6U);
    EXPECT_EQ(dams->keySha256, std::vector<std::string>{hashA});
    EXPECT_NE(current->findTeam("kessick", "quarry"), nullptr);
    EXPECT_EQ(current->findTeam("kalari", "quarry"), nullptr);
    EXPECT_EQ(current->organisations.at("kessick")->share, 4);
    EXPECT_EQ(current->models.at("analyst").weightsVersion, "7");
    EXPECT_TRUE(current->backendServers.at("e1").isCheckingFencing);
    EXPECT_TRUE(current->backendServers.at("r1").isDrained);
    EXPECT_EQ(current->services.at("register").nonIdempotentCalls, std::vector<std::string>{"append"});
}

TEST(TreeFilesTest, namesFileLineAndKeyOfEveryProblem)
{
    const std::string problems = problemsOf("models:\n  analyst: {replica: 1}\norganisations:\n  kessick:\n    share: -1\n    teams:\n      dams:\n"
                                            "        keys: [ABC]\n        share: 0\n      'two words': {}\n");
    EXPECT_NE(problems.find("tree.yaml:2: models.analyst.replica: This key is not known."), std::string::npos) << problems;
    EXPECT_NE(problems.find("tree.yaml:5: organisations.kessick.share:"), std::string::npos) << problems;
    EXPECT_NE(problems.find("tree.yaml:8: organisations.kessick.teams.dams.keys:"), std::string::npos) << problems;
    EXPECT_NE(problems.find("tree.yaml:9: organisations.kessick.teams.dams.share:"), std::string::npos) << problems;
    EXPECT_NE(problems.find("tree.yaml:10: organisations.kessick.teams.two words:"), std::string::npos) << problems;
}

TEST(TreeFilesTest, checksWhatRowsSayOfEachOther)
{
    const std::string keys = "[" + hashA + "]";
    const std::string problems
        = problemsOf("models:\n  analyst: {adapters: [wall]}\nbackend_servers:\n  e1: {endpoint: x, models: [ghost]}\norganisations:\n  kessick:\n"
                     "    share: 1\n    teams:\n      dams: {models: [\"analyst:gate\"], services: [register], keys: "
            + keys + "}\n      other: {keys: " + keys + "}\n  kalari: {teams: {roster: {}}}\n");
    EXPECT_NE(problems.find("tree.yaml:4: backend_servers.e1.models: The model \"ghost\" is not declared."), std::string::npos) << problems;
    EXPECT_NE(problems.find("tree.yaml:9: organisations.kessick.teams.dams.models: The model \"analyst\" declares no adapter \"gate\"."), std::string::npos)
        << problems;
    EXPECT_NE(problems.find("tree.yaml:9: organisations.kessick.teams.dams.services: The service \"register\" is not declared."), std::string::npos)
        << problems;
    EXPECT_NE(problems.find("tree.yaml:10: organisations.kessick.teams.other.keys: This key's hash stands at"), std::string::npos) << problems;
    EXPECT_NE(problems.find("The organisation \"kalari\" is not declared."), std::string::npos) << problems;
}

TEST(TreeFilesTest, refusesRowThatIsGivenTwice)
{
    const auto files = TreeFiles::readTexts({{"a.yaml", "models: {analyst: {}}"}, {"b.yaml", "models:\n  analyst: {replicas: 1}"}});
    ASSERT_FALSE(files);
    EXPECT_NE(files.error().message.find("b.yaml:2: models.analyst"), std::string::npos) << files.error().message;
}

TEST(TreeFilesTest, everyRowSurvivesEncoding)
{
    const auto files = TreeFiles::readTexts({{"tree.yaml", wholeTree}});
    ASSERT_TRUE(files);
    EXPECT_EQ(files.value().rows().size(), 7U);
    for (const auto &[path, content] : files.value().rows()) {
        const std::string text = encodeRow(content);
        const auto decoded = decodeRow(TreePath::fromString(path).value(), text);
        ASSERT_TRUE(decoded) << decoded.error().toString();
        EXPECT_EQ(encodeRow(decoded.value()), text);
        EXPECT_EQ(decoded.value().index(), content.index());
    }
}

TEST(TreeFilesTest, malformedFilesNeverCrash)
{
    // Cuts, doubles and overwrites parts of a good file, which reaches deeper than random bytes.
    EXPECT_TRUE(rc::check("a damaged tree is accepted or refused", [] {
        std::string text = wholeTree;
        const int edits = *rc::gen::inRange(1, 6);
        for (int i = 0; i < edits; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 20);
            const auto insertion = *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                rc::gen::element<std::string>("{", "}", "[", "]", ":", "\n", "~", "*a", "&a ", "- ", "? ", "!!binary ", "1e999", "\"", "teams:", "<<: "));
            text.replace(at, length, insertion);
            if (text.empty()) {
                break;
            }
        }
        static_cast<void>(problemsOf(text));
    }));
    EXPECT_TRUE(rc::check("damaged rows are decoded or refused", [](const std::string &bytes) {
        const auto key
            = *rc::gen::element<std::string>("settings/models/a", "settings/organisations/a/teams/b", "settings/operators/a", "settings/backend_servers/e");
        const auto json = *rc::gen::element<std::string>("{\"share\":-1}",
            "{\"keys\":[1]}",
            "{\"classes\":{\"a\":-1}}",
            "{\"classes\":[]}",
            "[]",
            "{\"adapters\":{}}",
            "{\"replicas\":1e300}",
            "{\"drained\":3}");
        static_cast<void>(decodeRow(TreePath::fromString(key).value(), bytes));
        static_cast<void>(decodeRow(TreePath::fromString(key).value(), json));
    }));
}

TEST(TreePathTest, parsesItsOwnTextAndNothingElse)
{
    for (const std::string key : {"settings/models/a", "settings/organisations/o", "settings/organisations/o/teams/t", "settings/operators/x"}) {
        const auto path = TreePath::fromString(key);
        ASSERT_TRUE(path);
        EXPECT_EQ(path.value().toString(), key);
    }
    for (const std::string key :
        {"", "settings/", "settings/models", "settings/models/", "settings/models/a/b", "settings/what/a", "models/a", "settings/organisations/o/teams"}) {
        EXPECT_FALSE(TreePath::fromString(key)) << key;
    }
    EXPECT_TRUE(isWithin("settings/organisations/kessick/teams/a", "organisations/kessick"));
    EXPECT_FALSE(isWithin("settings/organisations/kessick2", "organisations/kessick"));
    EXPECT_FALSE(isWithin("settings/organisations/kessick", "organisations/kessick/teams"));
}

} // namespace

} // namespace Verbena::SettingsTree
