#include "cachestores.h"

#include <decisions/routing/placement.h>

#include <algorithm>

namespace Verbena::Decisions {

void CacheStores::set(std::vector<CacheStore> stores)
{
    m_stores = std::move(stores);
}

bool CacheStores::hasStores() const
{
    return !m_stores.empty();
}

// Prefers a store in the failure domain of the prompt's home: transfers between domains take twice as long, at both ends.
const CacheStore *CacheStores::storeOf(PrefixKey prompt, const std::string &homeDomain) const
{
    const auto rank = [&](const CacheStore &store) {
        return std::pair(store.failureDomain != homeDomain, Placement::distance(prompt, backendServerId(store.address)));
    };
    const auto isNearer = [&rank](const CacheStore &left, const CacheStore &right) {
        return rank(left) < rank(right);
    };
    const auto nearest = std::min_element(m_stores.begin(), m_stores.end(), isNearer);
    // No other store replaces one whose content is not known: it would be filled with prompts that other routers do not look for there.
    return nearest == m_stores.end() || nearest->index == nullptr ? nullptr : &*nearest;
}

} // namespace Verbena::Decisions
