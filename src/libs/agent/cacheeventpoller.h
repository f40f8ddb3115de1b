#pragma once

#include "backendwatch.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Verbena::Agent {

/// \brief Asks an engine what changed in its cache.
class CacheEventPoller
{
public:
    CacheEventPoller(EventLoop::Loop &loop, Http::HttpClient &client, const BackendWatchOptions &options, BackendWatch &watch, BackendListener &listener);

    void start();

    /// \brief The engine was handed \a ref; its events name the request alone.
    void noteRunStarted(const Decisions::RequestRef &ref);

private:
    void ask();
    void receive(const Core::Result<Http::HttpReply> &reply);
    void readEvents(const std::string &body);
    Decisions::RequestRef refOf(const std::string &request) const;

    EventLoop::Loop &m_loop;
    Http::HttpClient &m_client;
    BackendWatchOptions m_options;
    BackendWatch &m_watch;
    BackendListener &m_listener;
    EventLoop::Timer m_timer;
    std::uint64_t m_askedIncarnation = 0; ///< As the watch knows it.
    std::uint64_t m_next = 1; ///< Number of the first event that is still to come.
    std::unordered_map<std::string, std::uint32_t> m_attempts; ///< Latest attempt of each recent request.
    std::deque<std::string> m_attemptOrder;
};

} // namespace Verbena::Agent
