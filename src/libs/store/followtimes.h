#pragma once

#include <chrono>

namespace Verbena::Store {

/// \brief Timeouts and intervals for following the store's tables, all derived from the time within which a change has to be in force.
struct FollowTimes
{
    std::chrono::milliseconds bound; ///< Maximum time until a change is in force.
    std::chrono::milliseconds maximumWait; ///< Maximum time for which a request for changes waits for one.
    std::chrono::milliseconds answerTimeout; ///< Timeout for the store's answer, after which the request is sent again.
    std::chrono::milliseconds slowAnswerTimeout; ///< Timeout after which an answer to a request that was given up is no longer used.
    std::chrono::milliseconds maximumRetryInterval; ///< Maximum interval between two requests while the store does not answer.
    std::chrono::milliseconds peerAnswerTimeout; ///< Timeout for the answer of another process.
    std::chrono::milliseconds sharedMaximumWait; ///< Maximum wait of a request to, or by, a process that follows the store for others.
    std::chrono::milliseconds sharedMaximumAge; ///< Maximum age of the data that such a process passes on.
    std::chrono::milliseconds digestPeriod; ///< Interval between two digests that a process sends to others.

    /// \brief Returns the times for changes that have to be in force within \a wanted, none of which is zero.
    static FollowTimes within(std::chrono::milliseconds wanted);
};

} // namespace Verbena::Store
