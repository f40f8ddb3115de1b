#include <core/processmemory.h>
#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;

[[maybe_unused]] constexpr std::int64_t hostBytes = 110'000'000;
constexpr std::size_t sentBytes = 16 * 1024 * 1024;

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::int64_t peakBytes(pid_t process)
{
    return static_cast<std::int64_t>(Core::processMemory(process, "VmHWM:"));
}

std::string repeated(const std::string &unit)
{
    std::string text;
    while (text.size() < sentBytes) {
        text += unit;
    }
    return text;
}

} // namespace

// A trailer that went on without end took an agent beyond the memory of its host.
TEST(EndlessEngineTest, leavesTheAgentWithinItsHost)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("answer of version 1"));
    for (const std::string &answer : {chunkedHead + "2\r\n{}\r\n0\r\n" + repeated("X: y\r\n"), chunkedHead + "2;a=" + repeated("x")}) {
        deployment.engine().reportWith(answer);
        deployment.runFor(2s);
    }
    const std::int64_t peak = peakBytes(deployment.agent().pid());
    RecordProperty("peakBytes", std::to_string(peak));
    EXPECT_GT(peak, 0);
    // The address sanitizer keeps freed memory, so that its builds say nothing.
#ifndef __SANITIZE_ADDRESS__
    EXPECT_LT(peak, hostBytes);
#endif
    deployment.engine().reportWith(std::nullopt);
    deployment.store().put("op", "version/m", {{"model", "m"}, {"version", 2}});
    EXPECT_TRUE(deployment.runUntil([&] { return deployment.engine().version() == 2; }));
    EXPECT_EQ(deployment.engine().orders().front().at("holder"), "side-1");
}

} // namespace Verbena::Test
