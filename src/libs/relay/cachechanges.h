#pragma once

#include <core/result.h>
#include <core/time.h>
#include <decisions/relay/partindex.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Changes of a cache since an earlier request.
struct CacheChanges
{
    std::uint64_t incarnation = 0; ///< Incarnation of the cache; a different one means that a restart emptied it.
    std::uint64_t next = 0; ///< Event number from which the next request continues.
    std::vector<Decisions::PartEvent> events;
};

/// \brief Interface for requesting the changes of the caches of engines and KV cache stores.
class CacheChangeSource
{
public:
    using CacheCallback = std::function<void(Core::Result<CacheChanges>)>;

    virtual ~CacheChangeSource() = default;

    /// \brief Waits until \a waitEnd for changes at \a address after \a since. Errors: ResourceExhausted if the cache has too many requesters; Unavailable.
    virtual void awaitCacheChanges(const std::string &address, std::uint64_t since, Core::TimePoint waitEnd, Core::TimePoint deadline, CacheCallback done) = 0;
};

} // namespace Verbena::Relay
