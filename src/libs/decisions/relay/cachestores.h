#pragma once

#include "partindex.h"

#include <decisions/routing/prefixchain.h>

#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief A store of kept KV cache as one router knows it.
struct CacheStore
{
    std::string address; ///< IP number and port.
    std::string failureDomain;
    const PartIndex *index = nullptr; ///< What it holds; nothing while that cannot be relied on.
};

/// \brief The stores of kept KV cache of a deployment, among which prompts are spread.
///
/// Every prompt has one store, computed from its shared parts, so that all routers save and look for it at the same one. Together the stores then hold as
/// many different prompts as they have room for, and a store that is added or gone moves only its own prompts.
class CacheStores
{
public:
    /// \brief Takes the stores that the configuration declares. What their indexes point to has to live until the next call.
    void set(std::vector<CacheStore> stores);

    bool isAny() const;

    /// \brief The store of the prompts whose shared parts end with \a prompt and whose homes are in \a homeDomain; nothing if there is none or what it holds
    /// is not known.
    const CacheStore *storeOf(PrefixKey prompt, const std::string &homeDomain) const;

private:
    std::vector<CacheStore> m_stores;
};

} // namespace Verbena::Decisions
