#include "followtimes.h"

namespace Verbena::Store {

// Two lost questions, to an elected router and to the store, and the answer to a third fit into the bound; so do the news through two others and back.
FollowTimes FollowTimes::within(std::chrono::milliseconds bound)
{
    FollowTimes times{};
    times.bound = bound;
    times.longestWait = bound * 3 / 2;
    times.answer = bound / 4;
    times.slowAnswer = bound;
    times.longestRetry = bound / 6;
    times.peerAnswer = bound / 6;
    times.sharedWait = bound / 3;
    times.sharedAge = times.sharedWait + bound * 3 / 10;
    times.digestPeriod = bound / 6;
    return times;
}

} // namespace Verbena::Store
