#pragma once

#include "orderfailover.h"
#include "weightsschedule.h"

#include <core/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief The announcement of new weights that a router sends to the agent beside an engine.
struct AnnouncedSlot
{
    std::uint64_t version = 0;
    RolloutSlot slot;
    std::optional<std::chrono::microseconds> age; ///< Time since the weights were announced; nothing if it is not known.
};

/// \brief The rollout slots of a router's engines, as it sends them to agents.
///
/// Covers processes that start during a rollout. A router often learns which weights are announced before it has read the register; it then sends no slots,
/// because agents that received the slot of an empty fleet all loaded in the same millisecond. An agent that restarts is sent the same slot with the age of
/// its announcement, as well as the slot that its engine keeps from an earlier version.
class RolloutPlan
{
public:
    /// \brief Assigns a slot to each engine of \a goals that has none yet; the others keep theirs.
    void update(const std::map<std::string, WeightsGoal> &goals);

    /// \brief Returns what to send at \a now about \a model to the agent beside the engine \a id, which has \a version; earlier weights first, empty if no
    /// slot is known.
    std::vector<AnnouncedSlot> slots(const std::string &model, const std::string &id, std::uint64_t version, Core::TimePoint now) const;

private:
    struct VersionSlot
    {
        std::uint64_t version = 0;
        Core::TimePoint announcedAt = Core::TimePoint::min();
        RolloutSlot slot;
    };

    // Of the versions that an engine lacks, the first determines when it loads, and the newest what it loads.
    struct Engine
    {
        std::optional<VersionSlot> firstMissing;
        VersionSlot newest;
    };

    using Engines = std::map<std::string, Engine>; // By id.

    static bool hasCurrentSlots(const Engines &engines, const WeightsGoal &goal);
    // Removes what is planned for versions above \a version, and for that version before it is planned anew.
    static void withdrawFrom(Engine &engine, std::uint64_t version);
    static void assignSlots(Engines &engines, const WeightsGoal &goal);
    static AnnouncedSlot announcedSlot(const VersionSlot &slot, Core::TimePoint now);

    std::map<std::string, Engines> m_models;
};

} // namespace Verbena::Decisions
