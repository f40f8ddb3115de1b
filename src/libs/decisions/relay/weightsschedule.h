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
    std::uint32_t loadsAtOnce = 3; ///< Load at full speed in a small deployment; larger ones bear more.
    std::chrono::milliseconds loadTime{600}; ///< Of one engine, while no more than that many load.
    std::chrono::milliseconds notice{1000}; ///< Until the first ones load, so that what they run comes to its end.
    std::chrono::milliseconds spread{4400}; ///< From the first group to the end of the last.
};

/// \brief When the engine \a self should load weights that were named at \a namedAt.
///
/// Every agent works this out alone from the same register, so that engines change in small groups without a word between agents. Those with the oldest
/// weights go first: their answers lose most, and when the next version is named before all have this one, they skip it.
///
/// It answers two loads: a fleet whose engines all come back cold at once, which the spread avoids, and versions that follow each other faster than
/// they can be loaded, where an engine that began to wait anew with each of them would never have its turn. So an engine whose turn was \a planned
/// keeps it.
Core::TimePoint weightsLoadTime(const std::vector<WeightsHolder> &holders,
    const std::string &self,
    std::uint64_t version,
    const WeightsPace &pace,
    Core::TimePoint namedAt,
    Core::TimePoint planned = Core::TimePoint::max());

} // namespace Verbena::Decisions
