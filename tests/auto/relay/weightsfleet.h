#pragma once

#include <decisions/relay/weightsschedule.h>

#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief Returns \a engines holders with consecutive numbers as ids that all have \a version.
inline std::vector<WeightsHolder> fleet(int engines, std::uint64_t version = 1)
{
    std::vector<WeightsHolder> holders;
    holders.reserve(static_cast<std::size_t>(engines));
    for (int number = 0; number < engines; ++number) {
        holders.push_back({std::to_string(number), version});
    }
    return holders;
}

/// \brief Returns when the engine \a self of \a holders should load \a version, for a process that received the announcement when it was made.
inline Core::TimePoint weightsLoadTime(const std::vector<WeightsHolder> &holders,
    const std::string &self,
    std::uint64_t version,
    const RolloutOptions &options,
    Core::TimePoint announcedAt,
    Core::TimePoint planned = Core::TimePoint::max())
{
    const std::map<std::string, RolloutSlot> slots = rolloutSlots(holders, version);
    const auto own = slots.find(self);
    return weightsLoadTime(own == slots.end() ? RolloutSlot() : own->second, options, {announcedAt, announcedAt}, planned);
}

} // namespace Verbena::Decisions
