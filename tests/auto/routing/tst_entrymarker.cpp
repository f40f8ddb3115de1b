#include <decisions/routing/entrymarker.h>

#include <gtest/gtest.h>

using namespace Verbena;
using namespace Verbena::Decisions;

namespace {

// What of a team's requests is marked below \a level.
double acceptedPart(EntryMarker &marker, const std::string &team, int requests, std::uint32_t level, Core::TimePoint now)
{
    int accepted = 0;
    for (int i = 0; i < requests; ++i) {
        marker.noteRequest(team, now);
        accepted += marker.mark(team, now) < level ? 1 : 0;
    }
    return accepted / static_cast<double>(requests);
}

} // namespace

TEST(EntryMarker, CutsTheFloodBeforeTheTeamWithinItsShare)
{
    const Core::TimePoint now{std::chrono::hours(1)};
    EntryMarker marker(1);
    marker.setShare("flood", 0.5);
    marker.setShare("modest", 0.5);
    acceptedPart(marker, "flood", 10000, 0, now);
    acceptedPart(marker, "modest", 1000, 0, now);
    EXPECT_EQ(acceptedPart(marker, "modest", 1000, 11, now), 1);
    EXPECT_LT(acceptedPart(marker, "flood", 1000, 11, now), 0.7);
}

TEST(EntryMarker, MarksATeamWithoutAShareHighest)
{
    EntryMarker marker(1);
    marker.noteRequest("stranger", {});
    EXPECT_EQ(marker.mark("stranger", {}), EntryMarker::highestMark);
}
