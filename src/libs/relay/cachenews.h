#pragma once

#include <core/result.h>
#include <core/time.h>
#include <decisions/relay/partindex.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Changes of a cache since an earlier question.
struct CacheNews
{
    std::uint64_t incarnation = 0; ///< Another one means that the cache was emptied by a restart.
    std::uint64_t next = 0; ///< Where the next question goes on.
    std::vector<Decisions::PartEvent> events;
};

/// \brief Asks engines and stores of kept KV cache what changed in them.
class CacheNewsSource
{
public:
    using CacheCallback = std::function<void(Core::Result<CacheNews>)>;

    virtual ~CacheNewsSource() = default;

    /// \brief Waits until \a waitEnd for changes at \a address after \a since. Errors: ResourceExhausted, if too many ask there; Unavailable.
    virtual void awaitCacheNews(const std::string &address, std::uint64_t since, Core::TimePoint waitEnd, Core::TimePoint deadline, CacheCallback done) = 0;
};

} // namespace Verbena::Relay
