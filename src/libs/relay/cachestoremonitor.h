#pragma once

#include "cachemonitor.h"
#include "relaytask.h"

#include <eventloop/timer.h>

#include <map>
#include <memory>
#include <string>

namespace Verbena::Relay {

/// \brief Follows the contents of the KV cache stores in the configuration and passes them on to a relay.
class CacheStoreMonitor
{
public:
    CacheStoreMonitor(EventLoop::Loop &loop, CacheChangeSource &source, RelayTask &relay);
    ~CacheStoreMonitor();

    CacheStoreMonitor(const CacheStoreMonitor &) = delete;
    CacheStoreMonitor &operator=(const CacheStoreMonitor &) = delete;

private:
    void update();
    void updateMonitors(const std::vector<Decisions::RelayService> &stores);
    void updateRelay(const std::vector<Decisions::RelayService> &stores);

    EventLoop::Loop &m_loop;
    CacheChangeSource &m_source;
    RelayTask &m_relay;
    EventLoop::Timer m_timer;
    std::map<std::string, std::unique_ptr<CacheMonitor>> m_monitors; ///< Monitors by address of the store.
};

} // namespace Verbena::Relay
