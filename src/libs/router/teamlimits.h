#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace Verbena::Router {

/// \brief Counts the running requests of each team.
class TeamLimits
{
public:
    /// \brief The place of one running request; it is free again when this goes.
    using Slot = std::shared_ptr<void>;

    /// \brief Takes a place for a request of \a team of \a organisation; null if \a maximum run already (0: no limit).
    Slot acquire(const std::string &organisation, const std::string &team, std::uint32_t maximum);

private:
    struct Count
    {
        std::uint32_t running = 0;
    };

    std::unordered_map<std::string, std::shared_ptr<Count>> m_counts;
};

} // namespace Verbena::Router
