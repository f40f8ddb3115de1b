#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

namespace {

constexpr std::size_t streams = 4;
constexpr std::size_t serverHost = 210;

// A stream that lasts longer than the time between SIGTERM and SIGKILL.
WorkerScript endlessStream(const Http::MessageHead &head)
{
    const std::string *id = head.field("Verbenaladder-Attempt-Id");
    return {"HTTP/1.1 200 OK\r\nVerbenaladder-Attempt-Id: " + (id == nullptr ? "" : *id)
        + "\r\nVerbenaladder-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n"};
}

// A router whose grace period ended while requests ran destroyed what they used before them, and crashed.
TEST(ShutdownTest, exitsWhenItsGracePeriodEndsWhileStreamsRun)
{
    PlatformDeployment deployment;
    WorkerFake server(
        deployment.loop(), [](const Http::MessageHead &head, const std::string &) { return endlessStream(head); }, deployment.hostNumber(serverHost) + ":0");
    nlohmann::json configuration = PlatformDeployment::configuration(9);
    configuration["routes"][0]["resumable"] = true;
    configuration["routes"][0]["service"] = "briefs";
    configuration["services"].push_back({{"name", "briefs"}});
    deployment.store().put("op", "config", configuration);
    deployment.store().put(
        "servers", "i-2", {{"service", "briefs"}, {"address", server.address()}, {"zone", "hall"}, {"slots", 96}, {"phase", "ready"}, {"sequence", 1}});
    std::vector<std::unique_ptr<CallerFake>> callers;
    const auto hasBegun = [&callers] {
        return callers.back()->received().find("id: 1") != std::string::npos;
    };
    while (callers.size() < streams) {
        callers.push_back(std::make_unique<CallerFake>(deployment.loop(), deployment.callersEndpoint()));
        callers.back()->send("POST /wall/a HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: s" + std::to_string(callers.size())
            + "\r\nVerbenaladder-Deadline-Ms: 20000\r\nAuthorization: Token secret\r\nContent-Length: 2\r\n\r\nhi");
        ASSERT_TRUE(deployment.runUntil([&] { return hasBegun() || !callers.back()->received().empty(); }));
        if (!hasBegun()) {
            callers.pop_back();
        }
    }
    deployment.router().sendSignal(SIGTERM);
    ASSERT_TRUE(deployment.runUntil([&callers] { return callers.back()->isClosed(); }));
    EXPECT_EQ(deployment.router().waitForExit(), 0);
    EXPECT_EQ(callers.back()->received().find("\r\n0\r\n\r\n"), std::string::npos);
}

} // namespace

} // namespace Verbena::Test
