#pragma once

#include "cachewatch.h"
#include "relaytask.h"

#include <eventloop/timer.h>

#include <memory>
#include <string>

namespace Verbena::Relay {

/// \brief Keeps a relay informed of what the store of kept KV cache holds, wherever the configuration puts that store.
class StoreWatch
{
public:
    StoreWatch(EventLoop::Loop &loop, CacheNewsSource &source, RelayTask &relay);
    ~StoreWatch();

    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

private:
    void look();

    EventLoop::Loop &m_loop;
    CacheNewsSource &m_source;
    RelayTask &m_relay;
    EventLoop::Timer m_timer;
    std::string m_address;
    std::unique_ptr<CacheWatch> m_watch;
};

} // namespace Verbena::Relay
