#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
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

constexpr std::size_t keptCallers = 20;
constexpr std::size_t newCallers = 120;

std::string request(std::size_t number)
{
    return "POST /wall/a HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: k" + std::to_string(number)
        + "\r\nVerbenaladder-Deadline-Ms: 20000\r\nAuthorization: Token secret\r\nContent-Length: 2\r\n\r\nhi";
}

std::size_t countAnswers(const std::string &received)
{
    std::size_t count = 0;
    for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos; at = received.find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    return count;
}

// A router that stood still when it was to close its listener closed connections with the requests that had come meanwhile, read or not.
TEST(ShutdownTest, answersRequestsThatCameWhileItStoodStill)
{
    PlatformDeployment deployment;
    ASSERT_TRUE(deployment.askUntil("HTTP/1.1 200"));
    std::vector<std::unique_ptr<CallerFake>> callers;
    for (std::size_t number = 0; number < keptCallers; ++number) {
        callers.push_back(std::make_unique<CallerFake>(deployment.loop(), deployment.callersEndpoint()));
        callers.back()->send(request(number));
        ASSERT_TRUE(deployment.runUntil([&callers] { return countAnswers(callers.back()->received()) == 1; }));
    }
    deployment.router().sendSignal(SIGTERM);
    deployment.runFor(std::chrono::milliseconds(2600));
    deployment.router().sendSignal(SIGSTOP);
    for (std::size_t number = 0; number < keptCallers; ++number) {
        callers[number]->send(request(keptCallers + number));
    }
    for (std::size_t number = 0; number < newCallers; ++number) {
        callers.push_back(std::make_unique<CallerFake>(deployment.loop(), deployment.callersEndpoint()));
        callers.back()->send(request(2 * keptCallers + number));
    }
    deployment.runFor(std::chrono::milliseconds(1000));
    deployment.router().sendSignal(SIGCONT);
    EXPECT_TRUE(deployment.runUntil([&callers] { return std::all_of(callers.begin(), callers.end(), [](const auto &caller) { return caller->isClosed(); }); }));
    for (std::size_t number = 0; number < callers.size(); ++number) {
        EXPECT_EQ(countAnswers(callers[number]->received()), number < keptCallers ? 2U : 1U) << "caller " << number;
    }
    callers.clear();
    EXPECT_EQ(deployment.router().waitForExit(), 0);
}

// A request that was still being read when the grace period ended was cut off without an answer.
TEST(ShutdownTest, refusesWhatIsNotReadWhenItsGracePeriodEnds)
{
    PlatformDeployment deployment;
    nlohmann::json configuration = PlatformDeployment::configuration(9);
    configuration["limits"]["headerTimeoutMs"] = 20000;
    deployment.store().put("op", "config", configuration);
    ASSERT_TRUE(deployment.askUntil("HTTP/1.1 200"));
    deployment.runFor(std::chrono::milliseconds(2500)); // Until the change is in force.
    CallerFake reading(deployment.loop(), deployment.callersEndpoint());
    const std::string whole = request(1);
    deployment.router().sendSignal(SIGTERM);
    reading.send(whole.substr(0, whole.size() - 1));
    ASSERT_TRUE(deployment.runUntil([&reading] { return reading.isClosed(); }));
    EXPECT_EQ(countAnswers(reading.received()), 1U);
    reading.hangUp();
    EXPECT_EQ(deployment.router().waitForExit(), 0);
}

} // namespace

} // namespace Verbena::Test
