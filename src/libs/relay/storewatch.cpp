#include "storewatch.h"

#include <eventloop/loop.h>

namespace Verbena::Relay {

namespace {

// How soon a store that is lost, or elsewhere, is noticed.
constexpr std::chrono::milliseconds lookPeriod{200};

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
    m_relay.fleet().setStoreIndex(nullptr);
}

void StoreWatch::look()
{
    const Decisions::RelayService store = m_relay.cacheStore();
    const std::string &address = store.cacheStore;
    if (address != m_address) {
        m_relay.fleet().setStoreIndex(nullptr);
        m_address = address;
        m_watch = address.empty() ? nullptr : std::make_unique<CacheWatch>(m_loop, m_source, address);
    }
    if (m_watch != nullptr) {
        m_watch->setCapacity(store.cacheTokens);
    }
    const bool isKnown = m_watch != nullptr && m_watch->isFollowing();
    m_relay.fleet().setStoreIndex(isKnown ? &m_watch->index() : nullptr);
    m_timer.startAt(m_loop.now() + lookPeriod);
}

} // namespace Verbena::Relay
