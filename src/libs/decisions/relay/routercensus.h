#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief How many routers there are, by those that agents name.
///
/// What all routers may do together is shared out by this number, so a router that is gone counts until what it did has left every window.
class RouterCensus
{
public:
    /// \brief \a assumed is the count until a router has been named.
    explicit RouterCensus(std::uint32_t assumed);

    /// \brief A router at \a address was named.
    void note(const std::string &address, Core::TimePoint now);

    /// \brief Routers that were named lately, at least one.
    std::uint32_t count(Core::TimePoint now);

    /// \brief Whether any router has been named.
    bool isAnyNamed() const;

    /// \brief Addresses of the routers that were named lately.
    std::vector<std::string> addresses() const;

    /// \brief Up to \a most of the routers that were named lately: the same ones on every router that knows them all.
    std::vector<std::string> elected(std::size_t most) const;

private:
    std::uint32_t m_assumed;
    std::map<std::string, Core::TimePoint> m_deadlines; ///< By address.
};

} // namespace Verbena::Decisions
