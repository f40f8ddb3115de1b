#pragma once

#include "orderfailover.h"
#include "weightsschedule.h"

#include <core/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief What a router tells the agent beside an engine of new weights.
struct ToldTurn
{
    std::uint64_t version = 0;
    WeightsTurn turn;
    std::optional<std::chrono::microseconds> age; ///< Since the weights were named; nothing if that is not known.
};

/// \brief The turns of a router's engines to load new weights, as it tells them to agents.
///
/// It answers processes that start while weights are changed. A router often learns which weights are named before it knows the register: it tells no turns
/// then, where "none of no engines" made all engines load in the same millisecond. An agent that starts again is told the same turn and since when it counts,
/// and the turn that it kept of an earlier version as well.
class WeightsTurnBook
{
public:
    /// \brief Gives a turn to each engine of \a goals that has none yet; the others keep theirs.
    void follow(const std::map<std::string, WeightsGoal> &goals);

    /// \brief What to tell at \a now of \a model beside the engine \a id, which has \a version; earlier weights first, nothing if no turn is known.
    std::vector<ToldTurn> turns(const std::string &model, const std::string &id, std::uint64_t version, Core::TimePoint now) const;

private:
    struct Turn
    {
        std::uint64_t version = 0;
        Core::TimePoint namedAt = Core::TimePoint::min();
        WeightsTurn turn;
    };

    // Of the versions that an engine has not got, the first tells when it loads, and the newest what.
    struct Engine
    {
        std::optional<Turn> owed;
        Turn newest;
    };

    using Engines = std::map<std::string, Engine>; // By id.

    static bool haveTurns(const Engines &engines, const WeightsGoal &goal);
    static void giveTurns(Engines &engines, const WeightsGoal &goal);
    static ToldTurn told(const Turn &turn, Core::TimePoint now);

    std::map<std::string, Engines> m_models;
};

} // namespace Verbena::Decisions
