#pragma once

#include "cachenews.h"

#include <eventloop/timer.h>

#include <memory>
#include <string>

namespace Verbena::Relay {

/// \brief Follows what one engine or store of kept KV cache holds.
class CacheWatch
{
public:
    CacheWatch(EventLoop::Loop &loop, CacheNewsSource &source, const std::string &address);
    ~CacheWatch();

    CacheWatch(const CacheWatch &) = delete;
    CacheWatch &operator=(const CacheWatch &) = delete;

    /// \brief What is known of the cache.
    const Decisions::PartIndex &index() const;

    /// \brief Whether it answers, so that the index is worth something.
    bool isFollowing() const;

    /// \brief The cache was emptied by a restart; what it says is read again from the beginning.
    void restart();

    /// \brief From an answer to the next question there are at least \a pause from now on.
    void setPause(std::chrono::milliseconds pause);

    /// \brief The cache holds \a tokens at most.
    void setCapacity(std::uint64_t tokens);

private:
    void ask();
    void take(const Core::Result<CacheNews> &news);
    void takeFromBeginning();
    void noteFailure(const Core::Error &error);

    EventLoop::Loop &m_loop;
    CacheNewsSource &m_source;
    std::string m_address;
    std::chrono::milliseconds m_pause;
    EventLoop::Timer m_timer;
    Decisions::PartIndex m_index;
    std::shared_ptr<bool> m_isAlive; ///< Answers may come after this is gone.
    std::uint64_t m_next = 0;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_restarts = 0; ///< Answers to questions of before the last one are not taken.
    bool m_isFollowing = false;
    bool m_hasFailed = false;
};

} // namespace Verbena::Relay
