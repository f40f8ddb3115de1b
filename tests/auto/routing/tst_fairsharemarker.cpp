#include <decisions/routing/fairsharemarker.h>

#include <gtest/gtest.h>

using namespace Verbena;
using namespace Verbena::Decisions;

namespace {

// Returns the fraction of the team's requests that get a mark below the level.
double acceptedFraction(FairShareMarker &marker, const std::string &team, int requests, std::uint32_t level, Core::TimePoint now)
{
    int accepted = 0;
    for (int i = 0; i < requests; ++i) {
        marker.recordRequest(team, now);
        accepted += marker.mark(team, now) < level ? 1 : 0;
    }
    return accepted / static_cast<double>(requests);
}

} // namespace

TEST(FairShareMarker, LimitsTheTeamBeyondItsShareFirst)
{
    const Core::TimePoint now{std::chrono::hours(1)};
    FairShareMarker marker(1);
    marker.setShare("flood", 0.5);
    marker.setShare("modest", 0.5);
    acceptedFraction(marker, "flood", 10000, 0, now);
    acceptedFraction(marker, "modest", 1000, 0, now);
    EXPECT_EQ(acceptedFraction(marker, "modest", 1000, 11, now), 1);
    EXPECT_LT(acceptedFraction(marker, "flood", 1000, 11, now), 0.7);
}

TEST(FairShareMarker, MarksATeamWithoutAShareHighest)
{
    FairShareMarker marker(1);
    marker.recordRequest("stranger", {});
    EXPECT_EQ(marker.mark("stranger", {}), FairShareMarker::highestMark);
}
