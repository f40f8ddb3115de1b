#pragma once

#include "serverregister.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Verbena::Decisions {

/// \brief The only software version that the backend servers of a service have had for some time.
struct SoleSoftware
{
    std::string version;
    std::chrono::milliseconds duration{0}; ///< Time for which no other version was registered.
};

/// \brief Tracks which software versions the backend servers of each service have had.
class SoftwareVersions
{
public:
    /// \brief Records the versions in \a servers, which are known to be registered at \a now. To be called several times per second.
    void update(const ServerRegister &servers, Core::TimePoint now);

    /// \brief Returns the only version that \a service has, and for how long it is known to be the only one; nothing if there are several or none.
    std::optional<SoleSoftware> sole(const std::string &service, Core::TimePoint now) const;

    /// \brief Returns the only version that this process has seen of \a service within the last \a span, however short it has been running; nothing if there
    /// were several or none is registered.
    std::optional<std::string> onlySeen(const std::string &service, std::chrono::milliseconds span, Core::TimePoint now) const;

private:
    struct Service
    {
        Core::TimePoint firstSeen; ///< Time of the first update with a server of the service.
        std::map<std::string, Core::TimePoint> lastSeen; ///< Time of the last update with each version.
    };

    void collect(const ServerRegister &servers);

    std::map<std::string, Service> m_services;
    std::map<std::string, std::set<std::string>> m_registered; ///< Registered versions by service.
    std::optional<std::uint64_t> m_revision; ///< Revision of the register from which m_registered was collected.
};

} // namespace Verbena::Decisions
