#pragma once

#include <core/result.h>
#include <core/time.h>

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Store {

/// \brief A host in the platform's list, which may be out of date.
struct HostEntry
{
    std::string name; ///< Name of the backend server or router.
    std::string address;
    std::string failureDomain;
    ///
    /// A different number under the same name and address is a different host, and a later host has a higher number, for instance its start time. An adapter
    /// to a platform that identifies hosts in another way has to map them to such increasing numbers.
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
};

/// \brief Interface to the platform's list of live and leaving hosts.
class HostList
{
public:
    using ListCallback = std::function<void(Core::Result<std::vector<HostEntry>>)>;

    virtual ~HostList() = default;
    /// \brief Fetches the list by \a deadline and calls \a done with it or with an error.
    virtual void fetch(Core::TimePoint deadline, ListCallback done) = 0;
};

} // namespace Verbena::Store
