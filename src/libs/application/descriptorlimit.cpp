#include "descriptorlimit.h"

#include <sys/resource.h>

namespace Verbena::Application {

// The soft limit is often far below the hard one, for the sake of programs that call select().
std::optional<std::uint64_t> raiseDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return std::nullopt;
    }
    const rlimit raised{limit.rlim_max, limit.rlim_max};
    if (limit.rlim_cur != limit.rlim_max && setrlimit(RLIMIT_NOFILE, &raised) == 0) {
        limit = raised;
    }
    return limit.rlim_cur == RLIM_INFINITY ? std::nullopt : std::optional<std::uint64_t>(limit.rlim_cur);
}

} // namespace Verbena::Application
