#include <platform/workerfake.h>
#include <relay/tableagemonitor.h>

#include <gtest/gtest.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

class TableAgeMonitorTest : public testing::Test
{
protected:
    TableAgeMonitorTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_monitor(*m_loop, m_metrics, 1000ms, 7)
    {
        m_monitor.add(
            "op", [this] { return m_age; }, [this] { ++m_renewals; });
    }

    void waitForChecks()
    {
        const Core::TimePoint end = m_loop->now() + 600ms;
        Verbena::Test::runUntil(*m_loop, [this, end] { return m_loop->now() >= end; });
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    Observe::Metrics m_metrics;
    TableAgeMonitor m_monitor;
    std::optional<milliseconds> m_age;
    int m_renewals = 0;
};

TEST_F(TableAgeMonitorTest, renewsATableBeforeItIsTooOld)
{
    m_age = 400ms;
    waitForChecks();
    EXPECT_EQ(m_renewals, 0);
    m_age = 650ms;
    waitForChecks();
    EXPECT_GT(m_renewals, 0);
}

TEST_F(TableAgeMonitorTest, reportsTheAgeOfATableThatWasRead)
{
    waitForChecks();
    EXPECT_EQ(m_metrics.renderPrometheus().find("table_age_seconds_op"), std::string::npos);
    m_age = 1500ms;
    waitForChecks();
    EXPECT_NE(m_metrics.renderPrometheus().find("verbena_table_age_seconds_op 1.5"), std::string::npos);
}

} // namespace

} // namespace Verbena::Relay
