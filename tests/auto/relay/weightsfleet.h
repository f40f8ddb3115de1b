#pragma once

#include <decisions/relay/weightsschedule.h>

#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief So many engines, named by their numbers, that all have \a version.
inline std::vector<WeightsHolder> fleet(int engines, std::uint64_t version = 1)
{
    std::vector<WeightsHolder> holders;
    holders.reserve(static_cast<std::size_t>(engines));
    for (int number = 0; number < engines; ++number) {
        holders.push_back({std::to_string(number), version});
    }
    return holders;
}

/// \brief When the engine \a self of \a holders should load \a version, for who learned of the naming as it was made.
inline Core::TimePoint weightsLoadTime(const std::vector<WeightsHolder> &holders,
    const std::string &self,
    std::uint64_t version,
    const WeightsPace &pace,
    Core::TimePoint namedAt,
    Core::TimePoint planned = Core::TimePoint::max())
{
    const std::map<std::string, WeightsTurn> turns = weightsTurns(holders, version);
    const auto own = turns.find(self);
    return weightsLoadTime(own == turns.end() ? WeightsTurn() : own->second, pace, {namedAt, namedAt}, planned);
}

} // namespace Verbena::Decisions
