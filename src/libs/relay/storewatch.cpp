#include "storewatch.h"

#include <eventloop/loop.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// How soon a store that is lost, or elsewhere, is noticed.
constexpr milliseconds lookPeriod{200};

// For each store that is followed, from an answer to the next question: what a router spends on questions does not grow with the number of stores.
constexpr milliseconds pausePerStore{200};

// What is believed of a store is no older than news of an engine are at most.
constexpr milliseconds longestPause{800};

} // namespace

StoreWatch::StoreWatch(EventLoop::Loop &loop, CacheNewsSource &source, RelayTask &relay)
    : m_loop(loop)
    , m_source(source)
    , m_relay(relay)
    , m_timer(loop, [this] { look(); })
{
    look();
}

StoreWatch::~StoreWatch()
{
    m_relay.fleet().cacheStores().set({});
}

void StoreWatch::look()
{
    const std::vector<Decisions::RelayService> stores = m_relay.cacheStores();
    follow(stores);
    tellRelay(stores);
    m_timer.startAt(m_loop.now() + lookPeriod);
}

void StoreWatch::follow(const std::vector<Decisions::RelayService> &stores)
{
    // The relay may not use the index of a watch that ends here.
    m_relay.fleet().cacheStores().set({});
    const auto isGone = [&stores](const auto &watch) {
        return std::none_of(stores.begin(), stores.end(), [&watch](const Decisions::RelayService &store) { return store.cacheStore == watch.first; });
    };
    std::erase_if(m_watches, isGone);
    for (const Decisions::RelayService &store : stores) {
        std::unique_ptr<CacheWatch> &watch = m_watches[store.cacheStore];
        if (watch == nullptr) {
            watch = std::make_unique<CacheWatch>(m_loop, m_source, store.cacheStore);
        }
        watch->setCapacity(store.cacheTokens);
        watch->setPause(std::min(longestPause, pausePerStore * static_cast<int>(stores.size())));
    }
}

// A store that does not answer keeps its prompts: others would not find them elsewhere.
void StoreWatch::tellRelay(const std::vector<Decisions::RelayService> &stores)
{
    std::vector<Decisions::CacheStore> known;
    for (const Decisions::RelayService &store : stores) {
        const CacheWatch &watch = *m_watches.at(store.cacheStore);
        known.push_back({store.cacheStore, store.failureDomain, watch.isFollowing() ? &watch.index() : nullptr});
    }
    m_relay.fleet().cacheStores().set(std::move(known));
}

} // namespace Verbena::Relay
