#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief How long weights may be used after newer ones were announced.
struct WeightsLimits
{
    std::chrono::milliseconds fullValue{1500}; ///< Until then an answer on the older weights is worth as much as any.
    std::chrono::milliseconds longestUse{8000}; ///< After that no request may start on them.
};

/// \brief The announced versions of one model's weights, with the times of the announcements, independent of when this process was started.
class WeightsHistory
{
public:
    /// \brief Records that \a version was announced at \a at, replacing its earlier time; Core::TimePoint::min() if the time is not known.
    ///
    /// Returns whether the version is newer than all before.
    bool record(std::uint64_t version, Core::TimePoint at);

    /// \brief Removes the versions above \a version, whose announcement was withdrawn; returns whether there were any.
    bool withdrawAbove(std::uint64_t version);

    /// \brief Returns the newest version, or 0 if none was announced.
    std::uint64_t newest() const;

    /// \brief Returns when the newest version was announced; a time long ago if none was.
    Core::TimePoint newestAnnouncedAt() const;

    /// \brief Returns when the first version after \a version was announced, or nothing if it is the newest.
    std::optional<Core::TimePoint> outdatedSince(std::uint64_t version) const;

private:
    struct Announcement
    {
        std::uint64_t version;
        Core::TimePoint at;
    };

    std::vector<Announcement> m_announcements; ///< Announcements by increasing version, without the oldest.
};

/// \brief Returns the latest time at which a request may start on \a version, or nothing if it is the newest.
std::optional<Core::TimePoint> latestStart(std::uint64_t version, const WeightsHistory &history, const WeightsLimits &limits);

/// \brief Returns the versions on which requests may still start, newest first.
std::vector<std::uint64_t> usableWeights(
    const std::map<std::uint64_t, std::size_t> &servers, const WeightsHistory &history, const WeightsLimits &limits, Core::TimePoint now);

/// \brief Returns the version that a request should run on, or nothing if none of the available ones may be used any more.
///
/// \a servers is the number of backend servers at each version; \a randomValue is uniformly distributed over all numbers. During a rollout the few servers
/// with the new weights would be overloaded if they got all requests, and those with the old ones idle if they got none. So the new ones get more than their
/// share at random, and all once the old weights are too old.
std::optional<std::uint64_t> chooseWeights(const std::map<std::uint64_t, std::size_t> &servers,
    const WeightsHistory &history,
    const WeightsLimits &limits,
    Core::TimePoint now,
    std::uint64_t randomValue);

} // namespace Verbena::Decisions
