#include <settingstree/inforcebuilder.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::SettingsTree {

namespace {

using RowMap = std::map<std::string, ChangedRow>;

// What is in force, computed from scratch: the naive version that the builder is compared with.
std::string naiveText(const RowMap &rows)
{
    std::string text;
    for (const auto &[path, row] : rows) {
        const TreePath parsed = TreePath::fromString(path).value();
        const std::string owner = TreePath{RowKind::Organisation, parsed.organisation, {}}.toString();
        const bool isOrphan = parsed.kind == RowKind::Team && (!rows.contains(owner) || rows.at(owner).isDeleted);
        if (!row.isDeleted && !isOrphan) {
            text += path;
            text += "=" + row.content + "\n";
        }
    }
    return text;
}

std::string builtText(const Settings::InForceSettings &settings)
{
    std::map<std::string, std::string> rows;
    for (const auto &[name, organisation] : settings.organisations) {
        rows[TreePath{RowKind::Organisation, name, {}}.toString()] = encodeRow(OrganisationRow{name, organisation->share});
        for (const auto &[teamName, team] : organisation->teams) {
            rows[TreePath{RowKind::Team, teamName, name}.toString()] = encodeRow(team);
        }
    }
    for (const auto &[name, model] : settings.models) {
        rows[TreePath{RowKind::Model, name, {}}.toString()] = encodeRow(model);
    }
    std::string text;
    for (const auto &[path, content] : rows) {
        text += path;
        text += "=" + content + "\n";
    }
    return text;
}

std::string contentFor(const TreePath &path, double share)
{
    if (path.kind == RowKind::Organisation) {
        return encodeRow(OrganisationRow{path.name, share});
    }
    if (path.kind == RowKind::Model) {
        return encodeRow(Settings::ModelSettings{path.name, std::to_string(share), {}, 0});
    }
    Settings::TeamSettings team;
    team.share = share;
    return encodeRow(team);
}

TEST(InForceBuilderTest, agreesWithNaiveVersionAfterEveryStep)
{
    EXPECT_TRUE(rc::check("built in steps equals built from scratch", [] {
        InForceBuilder builder;
        RowMap rows;
        const int steps = *rc::gen::inRange(1, 30);
        for (int step = 1; step <= steps; ++step) {
            const auto path = *rc::gen::element<std::string>("settings/organisations/a",
                "settings/organisations/b",
                "settings/organisations/a/teams/x",
                "settings/organisations/a/teams/y",
                "settings/organisations/b/teams/x",
                "settings/models/m");
            const bool isDeleted = *rc::gen::inRange(0, 3) == 0;
            const auto revision = static_cast<std::uint64_t>(step);
            const ChangedRow row{path, isDeleted ? "" : contentFor(TreePath::fromString(path).value(), step), revision, isDeleted};
            rows[path] = row;
            const auto before = builder.current();
            const std::string textBefore = builtText(*before);
            RC_ASSERT(builder.apply({row}, revision).empty());
            RC_ASSERT(builder.current()->revision == revision);
            RC_ASSERT(builtText(*builder.current()) == naiveText(rows));
            RC_ASSERT(builtText(*before) == textBefore);
        }
    }));
}

TEST(InForceBuilderTest, malformedRowLeavesWhatWasInForce)
{
    InForceBuilder builder;
    EXPECT_TRUE(builder.apply({{"settings/models/m", R"({"weights_version":"1"})", 1, false}}, 1).empty());
    const auto errors = builder.apply({{"settings/models/m", "{", 2, false}, {"settings/models/n", "{}", 2, false}}, 2);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors.front().peer, "settings/models/m");
    EXPECT_EQ(builder.current()->models.at("m").weightsVersion, "1");
    EXPECT_TRUE(builder.current()->models.contains("n"));
    EXPECT_EQ(builder.current()->revision, 2U);
}

} // namespace

} // namespace Verbena::SettingsTree
