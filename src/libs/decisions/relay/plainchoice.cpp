#include "plainchoice.h"

#include <algorithm>
#include <utility>

namespace Verbena::Decisions {

namespace {

// All routers would try a server at the same moment if each did with its next call.
constexpr std::uint64_t callsPerMeasurement = 8;

bool isEndingSooner(const PlainCandidate &candidate, const PlainCandidate &other)
{
    const auto rank = [](const PlainCandidate &one) {
        return std::pair(one.isFull, one.slowness * (1 + one.expectedDelay));
    };
    return rank(candidate) < rank(other);
}

} // namespace

std::size_t soonestCandidate(const std::vector<PlainCandidate> &candidates, std::uint64_t randomValue)
{
    const auto isToBeMeasured = [](const PlainCandidate &candidate) {
        return candidate.isDueForMeasurement && !candidate.isFull;
    };
    const auto unmeasured = std::find_if(candidates.begin(), candidates.end(), isToBeMeasured);
    const bool isMeasuring = unmeasured != candidates.end() && randomValue % callsPerMeasurement == 0;
    const auto best = isMeasuring ? unmeasured : std::min_element(candidates.begin(), candidates.end(), isEndingSooner);
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace Verbena::Decisions
