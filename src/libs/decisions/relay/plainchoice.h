#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Verbena::Decisions {

/// \brief A candidate for a plain call with what decides on it.
struct PlainCandidate
{
    double slowness = 1; ///< Time that work takes there relative to the service's average.
    double expectedDelay = 0; ///< Delay by requests before it, in multiples of the time that one takes.
    bool isFull = false; ///< Whether the call would have to wait for a slot.
    bool isDueForMeasurement = false; ///< Whether nothing was heard of it lately, and no call of this router is under way there.
};

/// \brief Returns the index of the candidate at which a call ends soonest; one that is full is chosen only if all are. There must be at least one.
///
/// Now and then, as \a randomValue decides, it is one that is due for a measurement: a server that was slow once would otherwise never be measured again.
std::size_t soonestCandidate(const std::vector<PlainCandidate> &candidates, std::uint64_t randomValue);

} // namespace Verbena::Decisions
