#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief How long weights may be used after newer ones were named.
struct WeightsLimits
{
    std::chrono::milliseconds fullValue{1500}; ///< Until then an answer on the older weights is worth as much as any.
    std::chrono::milliseconds longestUse{8000}; ///< After that no request may begin on them.
};

/// \brief The versions of one model's weights that were named, and when, wherever this process was at that moment.
class WeightsHistory
{
public:
    /// \brief Takes \a version as named at \a at, in place of what was known of it; Core::TimePoint::min() if nobody can tell when.
    ///
    /// Returns whether it is newer than all before.
    bool note(std::uint64_t version, Core::TimePoint at);

    /// \brief The newest version, or 0 if none was named.
    std::uint64_t newest() const;

    /// \brief When the newest version was named; long ago if none was.
    Core::TimePoint newestSince() const;

    /// \brief When the first version after \a version was named, or nothing if it is the newest.
    std::optional<Core::TimePoint> outdatedSince(std::uint64_t version) const;

private:
    struct Named
    {
        std::uint64_t version;
        Core::TimePoint at;
    };

    std::vector<Named> m_named; ///< By rising version; the oldest are forgotten.
};

/// \brief The last moment at which a request may begin on \a version, or nothing if it is the newest.
std::optional<Core::TimePoint> begunUntil(std::uint64_t version, const WeightsHistory &history, const WeightsLimits &limits);

/// \brief Versions that requests may still begin on, the newest first.
std::vector<std::uint64_t> usableWeights(
    const std::map<std::uint64_t, std::size_t> &servers, const WeightsHistory &history, const WeightsLimits &limits, Core::TimePoint now);

/// \brief The version that a request should run on, or nothing if none that is there may be used any more.
///
/// \a servers counts the backend servers at each version. While weights are changed one group of backend servers after the other, the few that have the
/// new ones would drown if they got all requests, and the old ones stand idle if they got none; so the new ones get more than their part,
/// by a draw, and all once the old ones are too old.
std::optional<std::uint64_t> chooseWeights(
    const std::map<std::uint64_t, std::size_t> &servers, const WeightsHistory &history, const WeightsLimits &limits, Core::TimePoint now, std::uint64_t draw);

} // namespace Verbena::Decisions
