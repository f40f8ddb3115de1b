#pragma once

#include "cachechanges.h"

#include <eventloop/timer.h>

#include <memory>
#include <string>

namespace Verbena::Relay {

/// \brief Follows the contents of one engine's cache or one store of KV cache.
class CacheMonitor
{
public:
    CacheMonitor(EventLoop::Loop &loop, CacheChangeSource &source, const std::string &address);
    ~CacheMonitor();

    CacheMonitor(const CacheMonitor &) = delete;
    CacheMonitor &operator=(const CacheMonitor &) = delete;

    /// \brief Returns the index of the cache's contents as last reported.
    const Decisions::PartIndex &index() const;

    /// \brief Returns whether the cache answers, so that the index is valid.
    bool isFollowing() const;

    /// \brief Clears the index after a restart emptied the cache, and reads the changes from the start.
    void restart();

    /// \brief Waits at least \a pause between an answer and the next request from now on.
    void setPause(std::chrono::milliseconds pause);

    /// \brief Sets the capacity of the cache in tokens.
    void setCapacity(std::uint64_t tokens);

private:
    void sendRequest();
    void handleChanges(const Core::Result<CacheChanges> &changes);
    void readFromStart();
    void handleFailure(const Core::Error &error);

    EventLoop::Loop &m_loop;
    CacheChangeSource &m_source;
    std::string m_address;
    std::chrono::milliseconds m_pause;
    EventLoop::Timer m_timer;
    Decisions::PartIndex m_index;
    std::shared_ptr<bool> m_isAlive; ///< False after destruction; answers may arrive later.
    std::uint64_t m_next = 0;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_restarts = 0; ///< Number of restarts; answers to requests from before the last one are ignored.
    bool m_isFollowing = false;
    bool m_hasFailed = false;
};

} // namespace Verbena::Relay
