#pragma once

#include "backendadapter.h"
#include <http/bodycollector.h>

#include <eventloop/timer.h>
#include <http/httpclient.h>

#include <cstdint>
#include <memory>

namespace Verbena::Agent {

/// \brief How closely a backend server is watched.
struct BackendWatchOptions
{
    std::string url; ///< Of the backend server, for instance "http://127.0.0.1:8000".
    std::chrono::microseconds loadInterval{200000};
    std::chrono::microseconds hangTimeout{3000000}; ///< A backend server that does not answer for so long counts as hung.
    std::chrono::microseconds eventsInterval{50000}; ///< Between two looks for cache events.
};

/// \brief Knows whether a backend server answers, and its incarnation.
///
/// Incarnations are numbered anew here: a backend server may give any number, or none at all.
class BackendWatch
{
public:
    BackendWatch(EventLoop::Loop &loop, Http::HttpClient &client, const BackendWatchOptions &options, BackendListener &listener);

    /// \brief Begins to ask for the load.
    void start();

    /// \brief A request could not even be sent.
    void noteUnreachable(const Core::Error &error);

    /// \brief An answer says that the backend server is at \a incarnation, in its own counting.
    void noteIncarnation(std::uint64_t incarnation);

    /// \brief True until something speaks against it.
    bool isUp() const;

    /// \brief The present incarnation, as listeners know it.
    std::uint64_t incarnation() const;

    /// \brief True if \a incarnation, in the backend server's own counting, is the present one.
    bool isPresent(std::uint64_t incarnation) const;

private:
    void askLoad();
    void receiveLoad(const Core::Result<Http::HttpReply> &reply);
    void readReport(const std::string &body);
    void setUp(bool isUp, const Core::Error &reason);
    void beginIncarnation();

    EventLoop::Loop &m_loop;
    Http::HttpClient &m_client;
    BackendWatchOptions m_options;
    BackendListener &m_listener;
    EventLoop::Timer m_timer;
    bool m_isUp = true;
    bool m_hasTold = false; ///< The backend server tells its incarnation.
    std::uint64_t m_toldIncarnation = 0;
    std::uint64_t m_incarnation;
    Core::TimePoint m_hungAt;
};

} // namespace Verbena::Agent
