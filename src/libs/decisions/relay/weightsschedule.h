#pragma once

#include <core/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief An engine that serves a model, with the version of the weights that it had when last heard of.
struct WeightsHolder
{
    std::string id;
    std::uint64_t version = 0;
};

/// \brief How new weights are brought to many engines.
struct WeightsPace
{
    std::uint32_t loadsAtOnce = 3; ///< More slow each other down.
    std::chrono::milliseconds loadTime{600}; ///< Of one engine, while no more than that many load.
    std::chrono::milliseconds notice{1000}; ///< Until the first ones load, so that what they run comes to its end.
};

/// \brief When the engine \a self should load weights that were named at \a namedAt.
///
/// Every agent works this out alone from the same register, so that engines change in small groups without a word between agents. Those with the oldest
/// weights go first: their answers lose most, and when the next version is named before all have this one, they skip it.
Core::TimePoint weightsLoadTime(
    const std::vector<WeightsHolder> &holders, const std::string &self, std::uint64_t version, const WeightsPace &pace, Core::TimePoint namedAt);

} // namespace Verbena::Decisions
