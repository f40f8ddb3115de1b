#pragma once

#include "usagebucket.h"

#include <core/time.h>

#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief This router's share of the limit that a backend server names for all routers together.
///
/// All routers are ranked for each server. The first ones, as many as the limit has requests per second and a few more, send requests, each an equal part.
/// The others send none while answers confirm the limit. Without an answer for some time, each of them in turn may send one request, since only an answer
/// shows whether the limit still holds.
class LimitShare
{
public:
    /// \brief Creates a share that is empty at \a start, since the routers have sent requests without a limit until then.
    explicit LimitShare(Core::TimePoint start);

    /// \brief Sets the limit, in requests per second of all routers together.
    void setLimit(double perSecond);

    /// \brief Sets the position of this router, from 0 on, among \a routers routers.
    void setRank(std::uint32_t rank, std::uint32_t routers);

    /// \brief Sets an assumed number of routers. While their ranks are unknown, all of them send requests.
    void setAssumedRouters(std::uint32_t routers);

    /// \brief Returns when this router may send a request if an answer confirmed the limit last at \a confirmedAt; nothing if no time is known.
    std::optional<Core::TimePoint> nextSend(Core::TimePoint confirmedAt, Core::TimePoint now);

    /// \brief Records that a request was sent.
    void recordSent(Core::TimePoint now);

private:
    std::uint32_t senders() const;
    BucketSize bucketSize() const;
    bool isTurn(Core::TimePoint confirmedAt, Core::TimePoint now) const;

    double m_perSecond = 0;
    bool m_isRanked = false;
    std::uint32_t m_rank = 0;
    std::uint32_t m_routers = 1;
    UsageBucket m_bucket;
    Core::TimePoint m_nextTurn{}; ///< Earliest time of the next request of a router that is no sender.
};

} // namespace Verbena::Decisions
