#include <operator/requeststory.h>
#include <support/temporaryfolder.h>

#include <gtest/gtest.h>

namespace Verbena::Operator {

namespace {

std::string line(const std::string &time, const std::string &process, const std::string &event, const std::string &more)
{
    return R"({"time":"2026-12-02T20:14:)" + time + R"(Z","level":"INFO","process":")" + process + R"(","number":1,"event":")" + event + R"(","text":"t")"
        + more + "}\n";
}

class RequestStoryTest : public testing::Test
{
protected:
    Verbena::Test::TemporaryFolder m_folder;
};

TEST_F(RequestStoryTest, tellsARequestWithWhatHappenedToItsBackendServers)
{
    const std::string router = m_folder.write("router",
        line("50.000", "front-1", "server_changed", R"(,"server":"i-1","change":"registered")")
            + line("57.300", "front-1", "call_failed", R"(,"request":"a1","server":"i-1","failure":"lost")")
            + line("57.200", "front-1", "server_changed", R"(,"server":"i-1","change":"gone")")
            + line("57.250", "front-1", "server_changed", R"(,"server":"i-9","change":"gone")")
            + line("57.400", "front-1", "request_ended", R"(,"request":"a1","server":"i-1","status":"502","sends":1)")
            + line("57.400", "front-1", "request_ended", R"(,"request":"b2","server":"i-1","status":"200")") + "not a line of the log\n");
    const std::string agent = m_folder.write("agent", line("57.100", "side-1", "weights_ordered", R"(,"model":"m","version":"2")"));
    const auto story = tellRequest("a1", {router, agent});
    ASSERT_TRUE(story);
    EXPECT_EQ(story.value(),
        "  2026-12-02T20:14:57.100Z side-1 weights_ordered model=m version=2\n"
        "  2026-12-02T20:14:57.200Z front-1 server_changed server=i-1 change=gone\n"
        "* 2026-12-02T20:14:57.300Z front-1 call_failed server=i-1 failure=lost\n"
        "* 2026-12-02T20:14:57.400Z front-1 request_ended server=i-1 sends=1 status=502\n");
}

TEST_F(RequestStoryTest, saysWhatIsMissing)
{
    const std::string router = m_folder.write("router", line("57.400", "front-1", "request_ended", R"(,"request":"b2","status":"200")"));
    EXPECT_EQ(tellRequest("a1", {router}).error().code, Core::ErrorCode::NotFound);
    EXPECT_EQ(tellRequest("b2", {router, router + "-none"}).error().peer, router + "-none");
}

} // namespace

} // namespace Verbena::Operator
