#include <settingstree/treefiles.h>

#include <gtest/gtest.h>

#include <filesystem>

namespace Verbena::SettingsTree {

namespace {

class ExampleTest : public testing::TestWithParam<std::string>
{
protected:
    std::vector<std::string> treeFiles() const
    {
        std::vector<std::string> paths;
        for (const auto &entry : std::filesystem::directory_iterator(std::string(VERBENA_SOURCE) + "/examples/" + GetParam() + "/tree")) {
            paths.push_back(entry.path());
        }
        return paths;
    }
};

TEST_P(ExampleTest, hasAWholeTree)
{
    const auto tree = readWholeTree(treeFiles());
    ASSERT_TRUE(tree) << tree.error().message;
    std::size_t engines = 0;
    std::size_t organisations = 0;
    for (const auto &[path, content] : tree.value()) {
        const auto *server = std::get_if<Settings::BackendServerSettings>(&content);
        engines += server != nullptr && server->service.empty() ? 1 : 0;
        organisations += std::holds_alternative<OrganisationRow>(content) ? 1 : 0;
    }
    EXPECT_EQ(engines, 20U);
    EXPECT_EQ(organisations, 8U);
}

INSTANTIATE_TEST_SUITE_P(Deployments, ExampleTest, testing::Values("kessick", "kalari"));

} // namespace

} // namespace Verbena::SettingsTree
