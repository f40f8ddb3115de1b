#include <eventloop/loop.h>
#include <platform/workerfake.h>
#include <weights/pacereader.h>

#include <gtest/gtest.h>

namespace Verbena::Weights {

namespace {

using namespace std::chrono_literals;

// Answers at once, or fails.
class EngineStub : public EngineControl
{
public:
    void readReport(Core::TimePoint, ReportCallback) override
    {
    }

    void readPace(const std::string &path, Core::TimePoint, PaceCallback done) override
    {
        paths.push_back(path);
        if (isAnswering) {
            done(pace);
        } else {
            done(Core::Error{Core::ErrorCode::Unavailable, "test.pace", "", "The engine does not answer."});
        }
    }

    void orderWeights(const WeightsOrder &, Core::TimePoint, OrderCallback) override
    {
    }

    std::vector<std::string> paths;
    std::optional<double> pace = 1.6;
    bool isAnswering = true;
};

class PaceReaderTest : public testing::Test
{
protected:
    bool runUntil(const std::function<bool()> &isDone)
    {
        return Verbena::Test::runUntil(*m_loop, isDone);
    }

    std::unique_ptr<EventLoop::Loop> m_loop = std::move(EventLoop::Loop::create().value());
    EngineStub m_engine;
    PaceReader m_reader{*m_loop, m_engine};
};

// Each reading costs the engine a request, so none is made where no router can use it.
TEST_F(PaceReaderTest, readsNothingUntilAsked)
{
    m_reader.request("");
    m_reader.request("alive");
    m_reader.request("@other.example/alive");
    EXPECT_TRUE(m_engine.paths.empty());
    EXPECT_EQ(m_reader.takePace(), std::nullopt);
}

TEST_F(PaceReaderTest, readsNowAndThenAndStopsWhenNoRouterAsksAnyMore)
{
    m_reader.request("/alive");
    EXPECT_EQ(m_reader.takePace(), std::optional(1.6));
    m_engine.pace = 0.6;
    EXPECT_TRUE(runUntil([this] { return m_reader.takePace() == std::optional(0.6); }));
    EXPECT_EQ(m_engine.paths.back(), "/alive");
    const Core::TimePoint end = m_loop->now() + 6s;
    EXPECT_TRUE(runUntil([&] { return m_loop->now() >= end; }));
    EXPECT_GE(m_engine.paths.size(), 3U);
    EXPECT_LE(m_engine.paths.size(), 10U);
}

// A reading that was told with each report counted as a new one, and that of an engine that hangs for as long as routers asked.
TEST_F(PaceReaderTest, tellsEachReadingOnce)
{
    m_reader.request("/alive");
    EXPECT_EQ(m_reader.takePace(), std::optional(1.6));
    EXPECT_EQ(m_reader.takePace(), std::nullopt);
    m_engine.isAnswering = false;
    const std::size_t before = m_engine.paths.size();
    EXPECT_TRUE(runUntil([&] { return m_engine.paths.size() > before; }));
    EXPECT_EQ(m_reader.takePace(), std::nullopt);
    m_engine.isAnswering = true;
    EXPECT_TRUE(runUntil([this] { return m_reader.takePace().has_value(); }));
}

// The pace of an engine before its restart says nothing of it afterwards.
TEST_F(PaceReaderTest, discardsAReadingWhenTheEngineRestarts)
{
    m_reader.request("/alive");
    m_reader.restart();
    EXPECT_EQ(m_reader.takePace(), std::nullopt);
}

// An engine that names no pace is not taken for one of average pace.
TEST_F(PaceReaderTest, tellsNothingOfAnEngineThatNamesNone)
{
    m_engine.pace = std::nullopt;
    m_reader.request("/alive");
    EXPECT_EQ(m_engine.paths.size(), 1U);
    EXPECT_EQ(m_reader.takePace(), std::nullopt);
}

} // namespace

} // namespace Verbena::Weights
