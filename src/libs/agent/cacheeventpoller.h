#pragma once

#include "backendwatch.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Verbena::Agent {

/// \brief Polls an engine for the changes of its cache.
class CacheEventPoller
{
public:
    CacheEventPoller(EventLoop::Loop &loop, Http::HttpClient &client, const BackendWatchOptions &options, BackendWatch &watch, BackendListener &listener);

    void start();

    /// \brief Records that \a ref was sent to the engine, whose events name only the request, not the attempt.
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
    std::uint64_t m_askedIncarnation = 0; ///< Incarnation of the last request for events, in the watch's numbering.
    std::uint64_t m_next = 1; ///< Number of the next event.
    std::unordered_map<std::string, std::uint32_t> m_attempts; ///< Latest attempt of each recent request.
    std::deque<std::string> m_attemptOrder;
};

} // namespace Verbena::Agent
