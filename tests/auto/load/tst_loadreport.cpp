#include <load/latencyhistogram.h>
#include <load/loadreport.h>
#include <load/runscheck.h>
#include <load/workload.h>

#include <standin/runlist.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace Verbena::Load {

namespace {

using nlohmann::json;
using std::chrono::nanoseconds;

TEST(LatencyHistogramTest, quantilesMatchSortedDurations)
{
    EXPECT_TRUE(rc::check("quantiles", [] {
        const auto durations = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(2'000, 900'000'000)));
        LatencyHistogram first;
        LatencyHistogram second;
        for (std::size_t i = 0; i < durations.size(); ++i) {
            (i % 2 == 0 ? first : second).record(nanoseconds(durations[i]));
        }
        first.add(second);
        std::vector<std::int64_t> sorted = durations;
        std::ranges::sort(sorted);
        for (const double q : {0.5, 0.95, 0.99, 0.999}) {
            const auto rank = static_cast<std::size_t>(std::max(1.0, std::ceil(q * static_cast<double>(sorted.size()))));
            const auto expected = static_cast<double>(sorted[rank - 1]);
            RC_ASSERT(std::abs(static_cast<double>(first.quantile(q).count()) - expected) < 0.024 * expected);
        }
    }));
}

TEST(RunsCheckTest, findsDuplicateRunsAndFalseNotRunReports)
{
    const auto runs = [](std::initializer_list<const char *> bodies) {
        json list = json::array();
        for (const char *body : bodies) {
            list.push_back({{"body_hash", Standin::RunList::bodyHash(body)}});
        }
        return json{{"runs", list}}.dump();
    };
    RunsCheck check;
    for (const char *body : {"a", "b", "c", "d"}) {
        check.addNonIdempotent(body);
    }
    check.addNotRun("c");
    check.addNotRun("d");
    ASSERT_TRUE(check.addRuns(runs({"a", "b", "c", "not ours", "not ours"})));
    EXPECT_EQ(check.duplicateCount(), 0U);
    ASSERT_TRUE(check.addRuns(runs({"b"})));
    EXPECT_EQ(check.duplicateCount(), 1U);
    EXPECT_EQ(check.falseNotRunCount(), 1U);
    EXPECT_FALSE(check.addRuns("nothing"));
}

TEST(LoadReportTest, isCleanOnlyWithoutFaults)
{
    for (const Outcome fault : {Outcome::Corrupted, Outcome::Misdelivered, Outcome::Duplicated, Outcome::Lost}) {
        LoadReport report({"kessick", "kalari"});
        report.tally(0).outcomes[static_cast<std::size_t>(Outcome::Complete)] = 3;
        report.tally(0).outcomes[static_cast<std::size_t>(Outcome::NotRun)] = 1;
        EXPECT_TRUE(report.isClean());
        report.tally(1).outcomes[static_cast<std::size_t>(fault)] = 1;
        EXPECT_FALSE(report.isClean());
    }
    LoadReport report({"kessick"});
    report.addDuplicateRuns(1);
    EXPECT_FALSE(report.isClean());
    EXPECT_EQ(json::parse(report.toJson())["doubled"], 1);
}

TEST(WorkloadTest, sameSeedGivesTheSameUniqueRequests)
{
    WorkloadOptions options;
    options.kind = WorkloadKind::Kalari;
    options.pieceBytes = 64;
    Workload first(options);
    Workload second(options);
    std::set<std::string> bodies;
    std::vector<int> perOrganisation(8);
    for (int i = 0; i < 500; ++i) {
        const LoadRequest request = first.next();
        EXPECT_EQ(request.body, second.next().body);
        EXPECT_TRUE(bodies.insert(request.body).second);
        ++perOrganisation[request.organisation];
    }
    EXPECT_GT(perOrganisation[0], 4 * perOrganisation[7]);
}

} // namespace

} // namespace Verbena::Load
