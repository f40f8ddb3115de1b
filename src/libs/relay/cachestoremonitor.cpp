#include "cachestoremonitor.h"

#include <eventloop/loop.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Maximum time until a store that was lost or moved is detected.
constexpr milliseconds updateInterval{200};

// Pause between an answer and the next request, per store, so that the total rate of a router's requests does not grow with the number of stores.
constexpr milliseconds pausePerStore{200};

// Keeps the contents of a store at most as old as an engine's status report can be.
constexpr milliseconds maximumPause{800};

} // namespace

CacheStoreMonitor::CacheStoreMonitor(EventLoop::Loop &loop, CacheChangeSource &source, RelayTask &relay)
    : m_loop(loop)
    , m_source(source)
    , m_relay(relay)
    , m_timer(loop, [this] { update(); })
{
    update();
}

CacheStoreMonitor::~CacheStoreMonitor()
{
    m_relay.fleet().cacheStores().set({});
}

void CacheStoreMonitor::update()
{
    const std::vector<Decisions::RelayService> stores = m_relay.cacheStores();
    updateMonitors(stores);
    updateRelay(stores);
    m_timer.startAt(m_loop.now() + updateInterval);
}

void CacheStoreMonitor::updateMonitors(const std::vector<Decisions::RelayService> &stores)
{
    // The relay must not use the index of a monitor that is removed here.
    m_relay.fleet().cacheStores().set({});
    const auto isGone = [&stores](const auto &monitor) {
        return std::none_of(stores.begin(), stores.end(), [&monitor](const Decisions::RelayService &store) { return store.cacheStore == monitor.first; });
    };
    std::erase_if(m_monitors, isGone);
    for (const Decisions::RelayService &store : stores) {
        std::unique_ptr<CacheMonitor> &monitor = m_monitors[store.cacheStore];
        if (monitor == nullptr) {
            monitor = std::make_unique<CacheMonitor>(m_loop, m_source, store.cacheStore);
        }
        monitor->setCapacity(store.cacheTokens);
        monitor->setPause(std::min(maximumPause, pausePerStore * static_cast<int>(stores.size())));
    }
}

// A store that does not answer stays in the list with its prompts, since they cannot be found in another store.
void CacheStoreMonitor::updateRelay(const std::vector<Decisions::RelayService> &stores)
{
    std::vector<Decisions::CacheStore> cacheStores;
    for (const Decisions::RelayService &store : stores) {
        const CacheMonitor &monitor = *m_monitors.at(store.cacheStore);
        cacheStores.push_back({store.cacheStore, store.failureDomain, monitor.isFollowing() ? &monitor.index() : nullptr});
    }
    m_relay.fleet().cacheStores().set(std::move(cacheStores));
}

} // namespace Verbena::Relay
