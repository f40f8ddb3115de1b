#pragma once

#include "backendadapter.h"
#include <http/bodycollector.h>

#include <eventloop/timer.h>
#include <http/httpclient.h>

#include <cstdint>
#include <memory>

namespace Verbena::Agent {

/// \brief Intervals and timeouts of the monitoring of a backend server.
struct BackendWatchOptions
{
    std::string url; ///< URL of the backend server, for instance "http://127.0.0.1:8000".
    std::chrono::microseconds loadInterval{200000};
    std::chrono::microseconds hangTimeout{3000000}; ///< Time without an answer after which a backend server counts as hung.
    std::chrono::microseconds eventsInterval{50000}; ///< Interval between two requests for cache events.
};

/// \brief Monitors whether a backend server answers, and its incarnation.
///
/// Incarnations are renumbered here, because a backend server may report any number or none.
class BackendWatch
{
public:
    BackendWatch(EventLoop::Loop &loop, Http::HttpClient &client, const BackendWatchOptions &options, BackendListener &listener);

    /// \brief Starts to request the load.
    void start();

    /// \brief Handles that a request could not be sent.
    void noteUnreachable(const Core::Error &error);

    /// \brief Handles an answer that states \a incarnation, in the backend server's own numbering.
    void noteIncarnation(std::uint64_t incarnation);

    /// \brief Returns whether the backend server is available; true until a failure is seen.
    bool isUp() const;

    /// \brief Returns the present incarnation, in the numbering that listeners get.
    std::uint64_t incarnation() const;

    /// \brief Returns whether \a incarnation, in the backend server's own numbering, is the present one.
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
    bool m_hasTold = false; ///< Whether the backend server reports its incarnation.
    std::uint64_t m_toldIncarnation = 0;
    std::uint64_t m_incarnation;
    Core::TimePoint m_hungAt;
};

} // namespace Verbena::Agent
