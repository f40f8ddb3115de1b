#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
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

/// \brief The place of an engine among those that load new weights one group after the other.
struct WeightsTurn
{
    std::uint32_t engines = 0; ///< That serve the model; 0 if this one is not among them.
    std::uint32_t before = 0; ///< Of those that wait, the ones whose turn comes first.
    std::uint32_t done = 0; ///< Of those that serve the model, the ones that had the weights when the turns were worked out.
};

/// \brief When weights were named, as far as who plans knows.
struct WeightsNaming
{
    Core::TimePoint at = Core::TimePoint::min(); ///< min() if that is not known, or long ago.
    Core::TimePoint learnedAt{}; ///< By who plans.

    bool isTimeKnown() const;
};

/// \brief The turns of all \a holders to load \a version, by id.
///
/// Everybody works them out alone from the same register, so that engines change in small groups without a word between hosts. Those with the oldest
/// weights go first: their answers lose most, and when the next version is named before all have this one, they skip it. Who reads the register in the
/// middle of the change comes to the same turns, since those that are done count too.
std::map<std::string, WeightsTurn> weightsTurns(const std::vector<WeightsHolder> &holders, std::uint64_t version);

/// \brief A turn of the engine \a id where the register cannot be read: drawn by hash, so that a fleet of any size is spread evenly.
WeightsTurn drawnWeightsTurn(const std::string &id, std::uint64_t version);

/// \brief When the engine of \a turn should load weights that were named at \a naming; a moment that has passed means at once.
///
/// It answers two loads: a fleet whose engines all come back cold at once, which the spread avoids, and versions that follow each other faster than
/// they can be loaded, where an engine that began to wait anew with each of them would never have its turn. So an engine whose turn was \a planned
/// keeps it.
///
/// If nobody knows when the weights were named, nobody uses the old ones any more either: the groups then load one right after the other.
Core::TimePoint weightsLoadTime(
    const WeightsTurn &turn, const WeightsPace &pace, const WeightsNaming &naming, Core::TimePoint planned = Core::TimePoint::max());

/// \brief Whether an engine that still runs \a running requests at \a now, after its \a loadTime, should finish them before it is ordered to load.
///
/// It answers a few long streams among many short requests: an engine that finishes what it runs takes nothing new, and one stream would keep it idle for
/// seconds with each version. Most of what runs ends, or goes on elsewhere, within a moment; the few streams that do not go on under the new weights.
bool mayRunsFinish(std::uint32_t running, Core::TimePoint loadTime, Core::TimePoint now);

/// \brief Whether \a turn, told once more by somebody, brings the load forward that was \a planned.
bool bringsForward(const WeightsTurn &turn, const WeightsPace &pace, const WeightsNaming &naming, Core::TimePoint planned);

} // namespace Verbena::Decisions
