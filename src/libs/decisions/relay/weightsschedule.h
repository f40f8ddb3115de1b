#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief An engine that serves a model, with the last reported version of its weights.
struct WeightsHolder
{
    std::string id;
    std::uint64_t version = 0;
};

/// \brief Options of the rollout of new weights to many engines.
struct RolloutOptions
{
    std::uint32_t concurrentLoads = 3; ///< Number of engines that can load at full speed at once in a small deployment; larger ones can load more.
    std::chrono::milliseconds loadDuration{600}; ///< Load time of one engine while no more than that many load.
    std::chrono::milliseconds noticePeriod{1000}; ///< Time until the first engines load, in which they finish their requests.
    std::chrono::milliseconds duration{4400}; ///< Time from the load of the first group to the end of that of the last.
};

/// \brief The position of an engine in the rollout, in which engines load new weights in groups one after the other.
struct RolloutSlot
{
    std::uint32_t engines = 0; ///< Number of engines that serve the model; 0 if this one is not among them.
    std::uint32_t position = 0; ///< Number of waiting engines that load before this one.
    std::uint32_t completed = 0; ///< Number of engines that already had the weights when the slots were computed.
};

/// \brief When weights were announced, as far as it is known to the process that plans the load.
struct WeightsAnnouncement
{
    Core::TimePoint announcedAt = Core::TimePoint::min(); ///< Time of the announcement; min() if it is not known, or long ago.
    Core::TimePoint receivedAt{}; ///< Time at which the planning process received it.

    bool isTimeKnown() const;
};

/// \brief Returns the slots of all \a holders to load \a version, by id.
///
/// Every process computes them on its own from the same register, so that engines load in small groups without messages between hosts. Engines with the oldest
/// weights go first: their answers lose most value, and if the next version is announced before all have this one, they skip it. A process that reads the
/// register during the rollout computes the same slots, since engines that have loaded are counted too.
std::map<std::string, RolloutSlot> rolloutSlots(const std::vector<WeightsHolder> &holders, std::uint64_t version);

/// \brief Returns a slot of the engine \a id where the register cannot be read: computed from a hash, so that a fleet of any size is distributed evenly.
RolloutSlot hashedRolloutSlot(const std::string &id, std::uint64_t version);

/// \brief Returns when the engine of \a slot should load the weights of \a announcement; a time in the past means at once.
///
/// The spread of load times prevents a fleet whose engines all come back cold at once. If versions follow each other faster than they can be loaded, an engine
/// whose wait began again with each of them would never load, so an engine keeps the load time that is already \a planned if it is earlier.
///
/// A position behind the last engine counts as that of the last one, as slots come from other processes.
///
/// If the time of the announcement is not known, no process uses the old weights any more, so the groups load one immediately after the other.
Core::TimePoint weightsLoadTime(
    const RolloutSlot &slot, const RolloutOptions &options, const WeightsAnnouncement &announcement, Core::TimePoint planned = Core::TimePoint::max());

/// \brief Returns whether an engine that runs \a running requests at \a now, after its \a loadTime, should finish them before it is ordered to load.
///
/// The delay is limited because of a few long streams among many short requests: an engine that finishes its requests accepts nothing new, and one stream
/// would keep it idle for seconds with each version. Most requests end or are continued elsewhere soon; the few remaining streams go on under the new
/// weights.
bool mayDeferLoad(std::uint32_t running, Core::TimePoint loadTime, Core::TimePoint now);

/// \brief Returns whether \a slot, received again from any sender, gives an earlier load time than \a planned.
bool isEarlierSlot(const RolloutSlot &slot, const RolloutOptions &options, const WeightsAnnouncement &announcement, Core::TimePoint planned);

} // namespace Verbena::Decisions
