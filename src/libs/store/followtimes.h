#pragma once

#include <chrono>

namespace Verbena::Store {

/// \brief How long those who follow the store's tables wait for what; all of it follows from the time within which a change has to be in force.
struct FollowTimes
{
    std::chrono::milliseconds bound; ///< Within it a change has to be in force.
    std::chrono::milliseconds longestWait; ///< Of a question for changes, while there is none.
    std::chrono::milliseconds answer; ///< For the store's answer, until it is asked again.
    std::chrono::milliseconds slowAnswer; ///< For an answer that may still come after that.
    std::chrono::milliseconds longestRetry; ///< Between two questions while it does not answer.
    std::chrono::milliseconds peerAnswer; ///< For the answer of another process.
    std::chrono::milliseconds sharedWait; ///< Of a question to or by a process that follows the store for others.
    std::chrono::milliseconds sharedAge; ///< Of what such a process tells, at most.
    std::chrono::milliseconds digestPeriod; ///< Between two digests that a process tells others.

    /// \brief For changes that have to be in force within \a bound.
    static FollowTimes within(std::chrono::milliseconds bound);
};

} // namespace Verbena::Store
