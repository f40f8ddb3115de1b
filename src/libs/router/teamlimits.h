#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace Verbena::Router {

/// \brief Limits the number of running requests of each team.
class TeamLimits
{
public:
    /// \brief The place of one running request; released when the last copy is destroyed.
    using Slot = std::shared_ptr<void>;

    /// \brief Returns a place for a request of \a team of \a organisation; null if \a maximum requests already run (0: no limit).
    Slot acquire(const std::string &organisation, const std::string &team, std::uint32_t maximum);

private:
    struct Count
    {
        std::uint32_t running = 0;
    };

    std::unordered_map<std::string, std::shared_ptr<Count>> m_counts;
};

} // namespace Verbena::Router
