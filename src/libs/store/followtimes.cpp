#include "followtimes.h"

namespace Verbena::Store {

// Two lost requests, one to an elected router and one to the store, and the answer to a third fit into the bound. So does an update that is passed on
// through two other processes and back.
FollowTimes FollowTimes::within(std::chrono::milliseconds bound)
{
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
