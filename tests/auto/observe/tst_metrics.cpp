#include <observe/metrics.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

namespace Verbena::Observe {

namespace {

using std::chrono::microseconds;

bool hasLine(const std::string &page, const std::string &line)
{
    return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

TEST(MetricsTest, rendersBucketsSumAndCountForEachTenant)
{
    Metrics metrics;
    metrics.recordDuration("first_token_seconds", {"kessick", "urgent"}, std::chrono::milliseconds(200));
    metrics.recordDuration("first_token_seconds", {"kessick", "urgent"}, std::chrono::milliseconds(300));
    metrics.recordAmount("recomputed_tokens", {"kalari", ""}, 0);
    metrics.count("requests", 3);
    metrics.setGauge("open", 2.5);
    const std::string page = metrics.renderPrometheus();
    EXPECT_TRUE(hasLine(page, "# TYPE verbena_first_token_seconds histogram")) << page;
    EXPECT_TRUE(hasLine(page, R"(verbena_first_token_seconds_bucket{organisation="kessick",class="urgent",le="0.1"} 0)")) << page;
    EXPECT_TRUE(hasLine(page, R"(verbena_first_token_seconds_bucket{organisation="kessick",class="urgent",le="0.215443"} 1)")) << page;
    EXPECT_TRUE(hasLine(page, R"(verbena_first_token_seconds_bucket{organisation="kessick",class="urgent",le="+Inf"} 2)")) << page;
    EXPECT_TRUE(hasLine(page, R"(verbena_first_token_seconds_sum{organisation="kessick",class="urgent"} 0.5)")) << page;
    EXPECT_TRUE(hasLine(page, R"(verbena_first_token_seconds_count{organisation="kessick",class="urgent"} 2)")) << page;
    EXPECT_TRUE(hasLine(page, R"(verbena_recomputed_tokens_bucket{organisation="kalari",class="",le="1"} 1)")) << page;
    EXPECT_TRUE(hasLine(page, "verbena_requests 3")) << page;
    EXPECT_TRUE(hasLine(page, "verbena_open 2.5")) << page;
}

TEST(MetricsTest, escapesLabels)
{
    Metrics metrics;
    metrics.recordAmount("tokens", {"a\"b\\c\nd", "x"}, 1);
    EXPECT_NE(metrics.renderPrometheus().find(R"(organisation="a\"b\\c\nd",class="x")"), std::string::npos);
}

TEST(MetricsTest, sharesOneLabelBeyondTheMaximumOfTenants)
{
    Metrics metrics(2);
    for (int i = 0; i < 10; ++i) {
        metrics.recordAmount("tokens", {"organisation" + std::to_string(i), ""}, 1);
    }
    const std::string page = metrics.renderPrometheus();
    EXPECT_TRUE(hasLine(page, R"(verbena_tokens_count{organisation="organisation1",class=""} 1)")) << page;
    EXPECT_TRUE(hasLine(page, R"(verbena_tokens_count{organisation="other",class="other"} 8)")) << page;
    EXPECT_EQ(page.find("organisation2"), std::string::npos);
}

TEST(MetricsTest, quantileIsAtMostOneBinAboveTheExactOne)
{
    EXPECT_TRUE(rc::check("against sorting", [] {
        const auto durations = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(20, 900'000'000)));
        const double q = *rc::gen::inRange(1, 101) / 100.0;
        Metrics metrics;
        for (std::size_t i = 0; i < durations.size(); ++i) {
            metrics.recordDuration("span", {std::to_string(i % 3), ""}, microseconds(durations[i]));
        }
        std::vector<int> sorted = durations;
        std::sort(sorted.begin(), sorted.end());
        const int exact = sorted[static_cast<std::size_t>(std::ceil(q * static_cast<double>(sorted.size()))) - 1];
        const double bin = std::pow(10.0, 1.0 / 12.0);
        const double answer = static_cast<double>(metrics.quantile("span", q).count());
        RC_ASSERT(answer >= exact * 0.999 - 1);
        RC_ASSERT(answer <= exact * bin * 1.001 + 1);
    }));
}

} // namespace

} // namespace Verbena::Observe
