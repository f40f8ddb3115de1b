#pragma once

#include <core/result.h>
#include <core/time.h>

#include <functional>
#include <string>
#include <vector>

namespace Verbena::Platform {

/// \brief A host as the platform's list shows it, which lags behind.
struct HostEntry
{
    std::string name; ///< The backend server's or the router's name.
    std::string address;
    std::string failureDomain;
    std::uint64_t incarnation = 0; ///< Another number under the same address is another host.
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

} // namespace Verbena::Platform
