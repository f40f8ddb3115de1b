#include "followtimes.h"

#include <algorithm>

namespace Verbena::Store {

namespace {

// With a shorter bound, periods and pauses would be no time at all, and requests would follow each other without an end.
constexpr std::chrono::milliseconds shortestBound{60};

} // namespace

// Two lost requests, one to an elected router and one to the store, and the answer to a third fit into the bound. So does an update that is passed on
// through two other processes and back.
FollowTimes FollowTimes::within(std::chrono::milliseconds wanted)
{
    const std::chrono::milliseconds bound = std::max(shortestBound, wanted);
    FollowTimes times{};
    times.bound = bound;
    times.maximumWait = bound * 3 / 2;
    times.answerTimeout = bound / 4;
    times.slowAnswerTimeout = bound;
    times.maximumRetryInterval = bound / 6;
    times.peerAnswerTimeout = bound / 6;
    times.sharedMaximumWait = bound / 3;
    times.sharedMaximumAge = times.sharedMaximumWait + bound * 3 / 10;
    times.digestPeriod = bound / 6;
    return times;
}

} // namespace Verbena::Store
