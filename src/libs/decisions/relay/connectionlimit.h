#pragma once

#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief Decides how many connections a router keeps open, so that some descriptors remain for new callers and for calls to backend servers.
///
/// From five eighths of the limit on, answers end their connections; from six eighths on, the connections that have been idle for longest are closed; from
/// seven eighths on, requests on new ones are refused, and from fifteen sixteenths on, new ones wait. What is left is for calls.
class ConnectionLimit
{
public:
    /// \brief Creates the limit of a process that may open \a descriptors connections; without a value nothing is limited.
    explicit ConnectionLimit(std::optional<std::uint64_t> descriptors);

    /// \brief Returns whether connections should end with their answers while \a open ones are open.
    bool isCrowded(std::uint64_t open) const;

    /// \brief Returns how many of \a open connections should be closed, if so many are idle.
    std::uint64_t excess(std::uint64_t open) const;

    /// \brief Returns whether the requests of another connection may be served beside \a open ones.
    bool admits(std::uint64_t open) const;

    /// \brief Returns whether another connection may be accepted beside \a open ones, to refuse its request.
    bool admitsRefusal(std::uint64_t open) const;

private:
    std::optional<std::uint64_t> m_descriptors;
};

} // namespace Verbena::Decisions
