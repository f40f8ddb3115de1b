#pragma once

#include <core/time.h>
#include <decisions/routing/backendserver.h>

#include <cstdint>
#include <unordered_map>

namespace Verbena::Router {

/// \brief The overload levels that agents reported. With them the router refuses requests which the agents would refuse, without sending them.
class OverloadLevels
{
public:
    /// \brief Records that \a id refuses requests with a mark at or above \a level; with level 0 it refuses none.
    void update(Decisions::BackendServerId id, std::uint32_t level, Core::TimePoint now);

    /// \brief Returns whether \a id refuses \a mark according to its last valid level.
    bool isRefusing(Decisions::BackendServerId id, std::uint32_t mark, Core::TimePoint now) const;

private:
    struct Level
    {
        std::uint32_t level = 0;
        Core::TimePoint validUntil;
    };

    std::unordered_map<Decisions::BackendServerId, Level> m_levels;
};

} // namespace Verbena::Router
