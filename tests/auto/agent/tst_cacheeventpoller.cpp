#include <agent/engineadapter.h>
#include <platform/workerfake.h>

#include <gtest/gtest.h>

#include <vector>

namespace Verbena::Agent {

namespace {

using Test::runUntil;
using Test::WorkerFake;
using Test::WorkerScript;

// Records cache events.
class EventsFake : public BackendListener
{
public:
    void receiveOutput(const Decisions::RequestRef &, std::string_view, std::uint32_t) override
    {
    }

    void finishRun(const Decisions::RequestRef &, const BackendEnd &) override
    {
    }

    void receiveReport(const BackendReport &) override
    {
    }

    void receiveCacheEvent(const Decisions::CacheEvent &event) override
    {
        events.push_back(event);
    }

    void incarnationChanged(std::uint64_t) override
    {
    }

    void availabilityChanged(bool, const Core::Error &) override
    {
    }

    std::vector<Decisions::CacheEvent> events;
};

WorkerScript answerWith(const std::string &body)
{
    return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

// A cache event whose kind or request is no text ended the agent.
TEST(CacheEventPollerTest, endsByAnEventOfOddTypes)
{
    const auto loop = std::move(EventLoop::Loop::create().value());
    const WorkerFake engine(*loop, [](const auto &head, const auto &) {
        const bool isAskedForEvents = head.target.starts_with("/cache_events");
        return answerWith(isAskedForEvents ? R"({"incarnation":1,"events":[{"kind":5,"request":[7],"sequence":1},{"kind":"removed","sequence":2}]})" : "{}");
    });
    BackendWatchOptions options;
    options.url = "http://" + engine.address();
    EventsFake listener;
    const auto adapter = std::move(EngineAdapter::create(*loop, options, listener).value());
    adapter->start();
    ASSERT_TRUE(runUntil(*loop, [&listener] { return listener.events.size() >= 2; }));
    EXPECT_EQ(listener.events[0].kind, Decisions::CacheEvent::Kind::Stored);
    EXPECT_EQ(listener.events[1].kind, Decisions::CacheEvent::Kind::Removed);
}

} // namespace

} // namespace Verbena::Agent
