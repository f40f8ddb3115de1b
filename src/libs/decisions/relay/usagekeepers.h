#pragma once

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief The process that keeps an organisation's usage, as one router sees it.
struct UsageKeeperChoice
{
    std::string address; ///< Of the engine beside the process.
    std::chrono::microseconds keptFor{0}; ///< Since this router sees it so.
};

/// \brief Which of the agents keeps which organisation's usage: computed alike on every router that knows the same agents, so that nobody has to agree.
class UsageKeepers
{
public:
    /// \brief Begins at \a start.
    explicit UsageKeepers(Core::TimePoint start);

    /// \brief \a agents are the addresses of the engines whose agents may keep.
    void setAgents(std::vector<std::string> agents);

    /// \brief The keeper for \a organisation; nothing if there is no agent.
    std::optional<UsageKeeperChoice> keeper(const std::string &organisation, Core::TimePoint now);

private:
    struct Kept
    {
        std::string address;
        Core::TimePoint since;
        std::uint64_t revision = 0; ///< Of the agents by which it was computed.
    };

    std::string compute(const std::string &organisation) const;

    Core::TimePoint m_start;
    std::vector<std::string> m_agents;
    std::uint64_t m_revision = 0;
    std::map<std::string, Kept> m_kept; ///< By organisation.
};

} // namespace Verbena::Decisions
