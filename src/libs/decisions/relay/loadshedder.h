#pragma once

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief Decides whose requests are refused first while the engines of a service cannot take them all.
///
/// Answers load that exceeds what the engines of a service can begin in time, of which much is of low priority: long prompts of a background task, for
/// instance, in front of which short urgent ones wait. Engines order only what has reached them, and read a prompt that they have begun to its end. So requests
/// of low priority give way here: the larger the refused fraction of a more urgent priority, the shorter the wait that is acceptable for them, down to none.
class LoadShedder
{
public:
    /// \brief Requests give way only to those whose priority is more urgent by at least \a priorityGap; 0 if they never do.
    explicit LoadShedder(std::uint32_t priorityGap);

    /// \brief Records that a request with \a priority, 0 being the most urgent, was sent to an engine of \a service.
    void recordAdmitted(const std::string &service, std::uint32_t priority, Core::TimePoint now);

    /// \brief Records that a request with \a priority was refused because of the load of the engines of \a service.
    void recordRefused(const std::string &service, std::uint32_t priority, Core::TimePoint now);

    /// \brief Returns the part of \a acceptable, the wait with which a request with \a priority would meet its target, that it may have.
    std::chrono::microseconds acceptableWait(
        const std::string &service, std::uint32_t priority, std::chrono::microseconds acceptable, Core::TimePoint now) const;

private:
    // Requests of one priority; both numbers decay with time.
    struct Outcomes
    {
        double admitted = 0;
        double refused = 0;
        Core::TimePoint updatedAt{};
    };

    static double decayFactor(const Outcomes &outcomes, Core::TimePoint now);
    static double refusedFraction(const Outcomes &outcomes, Core::TimePoint now);
    Outcomes &updated(const std::string &service, std::uint32_t priority, Core::TimePoint now);

    std::uint32_t m_priorityGap;
    std::map<std::string, std::map<std::uint32_t, Outcomes>> m_outcomes; ///< By service and priority.
};

} // namespace Verbena::Decisions
