#pragma once

#include <core/time.h>
#include <decisions/routing/routechooser.h>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Tracks which engines have an agent that reports, and since when the others have none.
class AgentPresence
{
public:
    /// \brief Records that the agent of the engine at \a address reported.
    void recordReport(const std::string &address, Core::TimePoint now);

    /// \brief Returns whether the agent of the engine at \a address has reported lately.
    bool isPresent(const std::string &address, Core::TimePoint now) const;

    /// \brief Returns since when the agent of the engine \a id at \a address has been absent, if that is long enough that its orders have to come from
    /// elsewhere; nothing otherwise.
    ///
    /// To be called several times a second for each engine, as the absence counts from the first call that finds it.
    std::optional<Core::TimePoint> orphanedSince(BackendServerId id, const std::string &address, Core::TimePoint now);

    /// \brief Removes the addresses and engines for which the functions return true.
    void removeIf(const std::function<bool(const std::string &)> &isUnusedAddress, const std::function<bool(BackendServerId)> &isGone);

private:
    std::unordered_map<std::string, Core::TimePoint> m_presentUntil; ///< By address of the engine.
    std::unordered_map<BackendServerId, Core::TimePoint> m_absentSince;
};

} // namespace Verbena::Decisions
