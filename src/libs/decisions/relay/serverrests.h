#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief Until when backend servers that have refused requests want none from this router.
class ServerRests
{
public:
    /// \brief Handles that the server asked this router for rest until \a until. Returns whether it had not asked before, or its last rest is over.
    bool record(const std::string &serverId, std::uint64_t incarnation, Core::TimePoint until, Core::TimePoint now);

    /// \brief Returns the servers that rest at \a now.
    std::vector<std::string> resting(Core::TimePoint now);

    /// \brief Returns the end of the server's rest; nothing if it does not rest at \a now.
    std::optional<Core::TimePoint> end(const std::string &serverId, Core::TimePoint now) const;

    /// \brief Ends the rest of the server if an earlier incarnation asked for it.
    void updateIncarnation(const std::string &serverId, std::uint64_t incarnation);

private:
    struct Rest
    {
        std::uint64_t incarnation = 0; ///< Incarnation of the server; 0 if it does not report one.
        Core::TimePoint until{};
    };

    std::map<std::string, Rest> m_rests; ///< By id of the server; those that are over are removed.
};

} // namespace Verbena::Decisions
