#pragma once

#include "serverregister.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace Verbena::Decisions {

/// \brief A software version of the backend servers of a service.
struct ServiceSoftware
{
    std::string service;
    std::string version;

    bool operator==(const ServiceSoftware &) const = default;

    bool operator<(const ServiceSoftware &other) const
    {
        return std::tie(service, version) < std::tie(other.service, other.version);
    }
};

/// \brief The only software version that the backend servers of a service have had for some time.
struct SoleSoftware
{
    std::string version;
    std::chrono::milliseconds duration{0}; ///< Time for which no other version was registered.
};

/// \brief Tracks which software versions the backend servers of each service have had.
///
/// A process that has just started does not know which versions there were before; it has to learn that from those that ran then.
class SoftwareVersions
{
public:
    /// \brief Records the versions in \a servers, which are known to be registered at \a now. To be called several times per second.
    void update(const ServerRegister &servers, Core::TimePoint now);

    /// \brief Learns at \a now that services had no other versions than \a recorded for longer than any stream lasts, apart from those that update() saw.
    /// Those of \a recorded that are not registered count as seen until \a now.
    void learn(const std::set<ServiceSoftware> &recorded, Core::TimePoint now);

    /// \brief Returns the only version that \a service has, and for how long it is known to be the only one; nothing if there are several or none.
    std::optional<SoleSoftware> sole(const std::string &service, Core::TimePoint now) const;

    /// \brief Returns all versions that are registered.
    std::set<ServiceSoftware> registered() const;

private:
    struct Service
    {
        Core::TimePoint knownSince; ///< Time since which all versions of the service are known.
        std::map<std::string, Core::TimePoint> lastSeen; ///< Time of the last update with each version.
    };

    void collect(const ServerRegister &servers);

    std::map<std::string, Service> m_services;
    std::map<std::string, std::set<std::string>> m_registered; ///< Registered versions by service.
    std::optional<std::uint64_t> m_revision; ///< Revision of the register from which m_registered was collected.
    std::optional<Core::TimePoint> m_knownSince; ///< Since then, services that appear are known to have had no version before; nothing before learn().
};

} // namespace Verbena::Decisions
