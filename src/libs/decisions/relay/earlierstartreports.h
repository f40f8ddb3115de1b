#pragma once

#include <core/time.h>
#include <decisions/routing/routechooser.h>

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Tells reports on an earlier start of an engine that are late from those of an engine that never started again.
class EarlierStartReports
{
public:
    /// \brief Records a report on the earlier start \a incarnation of the engine \a id. Returns whether such reports have come for so long that the engine
    /// still runs since that start.
    bool record(BackendServerId id, std::uint64_t incarnation, Core::TimePoint now);

    /// \brief Forgets the reports on earlier starts of the engine \a id, as one on its present start came.
    void discard(BackendServerId id);

    /// \brief Removes the engines for which \a isGone returns true.
    void removeIf(const std::function<bool(BackendServerId)> &isGone);

private:
    // Reports on one start, none of which came long after the one before.
    struct Series
    {
        std::uint64_t incarnation = 0;
        Core::TimePoint firstAt;
        Core::TimePoint lastAt;
    };

    std::unordered_map<BackendServerId, Series> m_series;
};

} // namespace Verbena::Decisions
