#pragma once

#include "partindex.h"

#include <decisions/routing/prefixchain.h>

#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief A store of saved KV cache, as one router sees it.
struct CacheStore
{
    std::string address; ///< IP number and port.
    std::string failureDomain;
    const PartIndex *index = nullptr; ///< Content of the store; null while the router has no reliable list of it.
};

/// \brief The stores of saved KV cache of a deployment, among which prompts are distributed.
///
/// Every prompt has one store, computed from its shared parts, so that all routers save to and look in the same one. Together the stores then hold as many
/// different prompts as they have capacity for, and adding or removing a store moves only the prompts of that store.
class CacheStores
{
public:
    /// \brief Replaces the declared stores with \a stores. The indexes that they point to must live until the next call.
    void set(std::vector<CacheStore> stores);

    bool hasStores() const;

    /// \brief Returns the store of the prompts whose shared parts end with \a prompt and whose home is in \a homeDomain; null if there is none or its content
    /// is not known.
    const CacheStore *storeOf(PrefixKey prompt, const std::string &homeDomain) const;

private:
    std::vector<CacheStore> m_stores;
};

} // namespace Verbena::Decisions
