#pragma once

#include <core/result.h>
#include <core/time.h>

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Store {

/// \brief A host as the platform's list shows it, which lags behind.
struct HostEntry
{
    std::string name; ///< The backend server's or the router's name.
    std::string address;
    std::string failureDomain;
    /// Another number under the same name and address is another host; a later one has a higher number, for instance the time of
    /// its start. An adapter to a platform with other marks has to bring them into that order.
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
};

/// \brief The platform's list of live and leaving hosts.
class HostList
{
public:
    using ListCallback = std::function<void(Core::Result<std::vector<HostEntry>>)>;

    virtual ~HostList() = default;
    virtual void fetch(Core::TimePoint deadline, ListCallback done) = 0;
};

} // namespace Verbena::Store
