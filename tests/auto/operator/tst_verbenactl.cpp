#include <support/childprocess.h>
#include <support/temporaryfolder.h>
#include <support/testhttp.h>

#include <gtest/gtest.h>

namespace Verbena::Operator {

namespace {

using Verbena::Test::ChildProcess;
using Verbena::Test::sendHttp;

constexpr int success = 0;
constexpr int failure = 1;
constexpr int invalid = 2;
constexpr int conflict = 4;

// The program itself against the platform's stand-in as a process.
class VerbenactlTest : public testing::Test
{
protected:
    VerbenactlTest()
        : m_standin("verbena-standin", {"platform"})
        , m_url("http://" + m_standin.waitForLine("listening http "))
        , m_tree(m_folder.write("tree.yaml", "models: {analyst: {}}\norganisations: {kessick: {share: 4, teams: {dams: {models: [analyst]}}}}\n"))
    {
    }

    std::vector<std::string> apply(const std::string &file) const
    {
        return {"--platform", m_url, "settings", "apply", file};
    }

    int run(const std::vector<std::string> &arguments) const
    {
        return ChildProcess("verbenactl", arguments).waitForExit();
    }

    void control(const std::string &json) const
    {
        ASSERT_EQ(sendHttp("POST", m_url + "/control", {}, json).status, 200);
    }

    Verbena::Test::TemporaryFolder m_folder;
    ChildProcess m_standin;
    std::string m_url;
    std::string m_tree;
};

TEST_F(VerbenactlTest, applyIsRepeatableAndShowsWhatItDoes)
{
    ChildProcess first("verbenactl", apply(m_tree));
    EXPECT_EQ(first.waitForLine("+ settings/models/"), "analyst");
    EXPECT_EQ(first.waitForLine("Accepted at revision "), "1.");
    EXPECT_EQ(first.waitForExit(), success);
    ChildProcess second("verbenactl", apply(m_tree));
    EXPECT_EQ(second.waitForLine("Nothing to change"), ": the tree holds all of it already.");
    EXPECT_EQ(second.waitForExit(), success);
    EXPECT_EQ(run(apply(m_folder.write("bad.yaml", "models: {analyst: {replicas: -1}}"))), invalid);
    EXPECT_EQ(run(apply(m_folder.write("dangling.yaml", "organisations: {kessick: {teams: {dams: {models: [ghost]}}}}"))), invalid);
}

TEST_F(VerbenactlTest, lostAnswersAndOutagesAreToldApart)
{
    ASSERT_EQ(run(apply(m_tree)), success);
    control(R"({"lost_answers":1})");
    std::vector<std::string> arguments = apply(m_folder.write("change.yaml", "organisations: {kessick: {share: 9}}"));
    arguments.insert(arguments.end(), {"--timeout-ms", "300"});
    EXPECT_EQ(run(arguments), success);
    ChildProcess history("verbenactl", {"--platform", m_url, "settings", "history", "organisations/kessick"});
    EXPECT_NE(history.waitForLine("2  ").find(R"({"share":9.0})"), std::string::npos);
    control(R"({"outage":"refusing"})");
    EXPECT_EQ(run(apply(m_tree)), failure);
}

TEST_F(VerbenactlTest, ofRacingOperatorsOneWins)
{
    ASSERT_EQ(run(apply(m_tree)), success);
    // Slow enough that both have read the tree before either writes.
    control(R"({"slowness_ms":800})");
    ChildProcess one("verbenactl", apply(m_folder.write("one.yaml", "organisations: {kessick: {share: 5}}")));
    ChildProcess two("verbenactl", apply(m_folder.write("two.yaml", "organisations: {kessick: {share: 6}}")));
    const int first = one.waitForExit();
    const int second = two.waitForExit();
    EXPECT_EQ(std::min(first, second), success);
    EXPECT_EQ(std::max(first, second), conflict);
}

} // namespace

} // namespace Verbena::Operator
