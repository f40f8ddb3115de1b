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
    EXPECT_TRUE(m_engine.paths.empty());
    EXPECT_EQ(m_reader.pace(), std::nullopt);
}

TEST_F(PaceReaderTest, readsNowAndThenAndStopsWhenNoRouterAsksAnyMore)
{
    m_reader.request("/alive");
    EXPECT_EQ(m_reader.pace(), std::optional(1.6));
    m_engine.pace = 0.6;
    EXPECT_TRUE(runUntil([this] { return m_reader.pace() == std::optional(0.6); }));
    EXPECT_EQ(m_engine.paths.back(), "/alive");
    EXPECT_TRUE(runUntil([this] { return !m_reader.pace().has_value(); }));
    EXPECT_LE(m_engine.paths.size(), 10U);
}

// The pace of an engine that hangs must not be told for as long as routers ask.
TEST_F(PaceReaderTest, forgetsThePaceOfAnEngineThatDoesNotAnswer)
{
    m_reader.request("/alive");
    m_engine.isAnswering = false;
    EXPECT_TRUE(runUntil([this] {
        m_reader.request("/alive");
        return !m_reader.pace().has_value();
    }));
    m_engine.isAnswering = true;
    EXPECT_TRUE(runUntil([this] { return m_reader.pace().has_value(); }));
}

// An engine that names no pace is not taken for one of average pace.
TEST_F(PaceReaderTest, tellsNothingOfAnEngineThatNamesNone)
{
    m_engine.pace = std::nullopt;
    m_reader.request("/alive");
    EXPECT_EQ(m_engine.paths.size(), 1U);
    EXPECT_EQ(m_reader.pace(), std::nullopt);
}

} // namespace

} // namespace Verbena::Weights
