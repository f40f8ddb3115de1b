#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief The active routers, as reported by agents.
///
/// Limits for all routers together are divided by their number. A lost router therefore counts until its actions are outside every window.
class ActiveRouters
{
public:
    /// \brief \a assumed is the count until a router is recorded.
    explicit ActiveRouters(std::uint32_t assumed);

    /// \brief Records that the router at \a address was reported at \a now.
    void record(const std::string &address, Core::TimePoint now);

    /// \brief Removes the routers that were not reported lately and returns the number of the others, or the assumed count if there are none.
    std::uint32_t count(Core::TimePoint now);

    /// \brief Returns whether any router is recorded.
    bool hasRouters() const;

    /// \brief Returns the addresses of the recorded routers.
    std::vector<std::string> addresses() const;

    /// \brief Returns the addresses of up to \a limit elected routers. All routers that have recorded the same routers elect the same ones.
    std::vector<std::string> elected(std::size_t limit) const;

private:
    std::uint32_t m_assumed;
    std::map<std::string, Core::TimePoint> m_deadlines; ///< Time at which each router's entry expires, by address.
};

} // namespace Verbena::Decisions
