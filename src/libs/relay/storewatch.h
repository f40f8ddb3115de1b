#pragma once

#include "cachewatch.h"
#include "relaytask.h"

#include <eventloop/timer.h>

#include <map>
#include <memory>
#include <string>

namespace Verbena::Relay {

/// \brief Keeps a relay informed of what the stores of kept KV cache hold, wherever the configuration puts those stores.
class StoreWatch
{
public:
    StoreWatch(EventLoop::Loop &loop, CacheNewsSource &source, RelayTask &relay);
    ~StoreWatch();

    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

private:
    void look();
    void follow(const std::vector<Decisions::RelayService> &stores);
    void tellRelay(const std::vector<Decisions::RelayService> &stores);

    EventLoop::Loop &m_loop;
    CacheNewsSource &m_source;
    RelayTask &m_relay;
    EventLoop::Timer m_timer;
    std::map<std::string, std::unique_ptr<CacheWatch>> m_watches; ///< By address of the store.
};

} // namespace Verbena::Relay
