#pragma once

#include "softwareversions.h"

#include <core/result.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief A change of the shared record of software versions.
struct SoftwareChange
{
    ServiceSoftware software;
    bool isRemoved = false; ///< Whether no stream of the version can be resumed any more, so that it is taken out of the record.
};

/// \brief Decides what the record of software versions has to say, which outlives all processes.
///
/// The record holds each version that is registered or was so within the time for which streams may be resumed. It has no times, as the clocks of two hosts
/// differ: who reads it takes a version that is not registered for one that has just left.
class SoftwareRecord
{
public:
    /// \brief Sets what the record held at \a now, when \a registered were the registered versions.
    void set(const std::set<ServiceSoftware> &recorded, const std::set<ServiceSoftware> &registered, Core::TimePoint now);

    /// \brief Returns the changes that have become due by \a now, each of them once: versions that are \a registered and were not before, and those that were
    /// last registered \a longestStream ago.
    std::vector<SoftwareChange> changes(const std::set<ServiceSoftware> &registered, std::chrono::milliseconds longestStream, Core::TimePoint now);

private:
    struct Entry
    {
        Core::TimePoint lastSeen; ///< Last time at which the version was registered.
        bool isRegistered = false; ///< Whether it was registered at the last call.
    };

    std::map<ServiceSoftware, Entry> m_entries; ///< What the record holds, as far as this process knows.
};

/// \brief Returns the key of the row that holds \a software.
std::string softwareRowKey(const ServiceSoftware &software);

/// \brief Returns what the row with \a key holds. Errors: InvalidArgument.
Core::Result<ServiceSoftware> decodeSoftwareRow(const std::string &key);

} // namespace Verbena::Decisions
