#pragma once

#include <core/time.h>
#include <decisions/routing/backendserver.h>

#include <cstdint>
#include <unordered_map>

namespace Verbena::Router {

/// \brief The overload levels that agents told, so that the router refuses what they would refuse before it costs anything.
class OverloadLevels
{
public:
    /// \brief Notes that \a id refuses requests marked at or above \a level; 0 means none.
    void update(Decisions::BackendServerId id, std::uint32_t level, Core::TimePoint now);

    /// \brief Whether \a id would refuse \a mark by what it told lately.
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
