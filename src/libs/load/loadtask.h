#pragma once

#include "loadreport.h"
#include "runscheck.h"
#include "workload.h"

#include <core/time.h>
#include <eventloop/timer.h>
#include <http/httpclient.h>

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::Load {

/// \brief Options of a load run.
struct LoadOptions
{
    std::vector<std::string> targets; ///< URLs such as "http://127.0.0.1:8080"; requests are sent to them in turn.
    std::vector<std::string> serviceUrls; ///< URLs of the plain services whose `GET /runs` is checked after the run.
    double requestsPerSecond = 50; ///< Mean rate; the intervals are exponentially distributed.
    std::chrono::milliseconds duration{10'000}; ///< Time for which requests are sent; the task then waits for outstanding answers.
    std::chrono::milliseconds timeout{30'000}; ///< Timeout of each request.
    bool isKeepingConnections = false; ///< Whether connections are reused. libcurl then repeats a request if a reused connection turns out to be dead.
    bool isShowingProgress = false; ///< Whether a progress line is shown and updated on standard error.
    WorkloadOptions workload;
};

/// \brief Open-loop load generator: sends requests at random times, independent of earlier answers, and checks every answer.
class LoadTask
{
public:
    /// \brief Creates a task that stops \a loop when it has finished. Errors: InvalidArgument without a target, Internal.
    static Core::Result<std::unique_ptr<LoadTask>> create(EventLoop::Loop &loop, const LoadOptions &options);

    /// \brief Starts to send requests.
    void start();

    /// \brief Stops sending; the task finishes when the outstanding answers have arrived.
    void stopSending();

    const LoadReport &report() const;

    /// \brief Returns the errors of checking the services' runs, one per line; empty if there were none.
    const std::string &problems() const;

private:
    class AnswerReceiver;
    class RunsReceiver;

    LoadTask(EventLoop::Loop &loop, const LoadOptions &options);
    void sendDueRequests();
    void send(Core::TimePoint due);
    void handleOutcome(const LoadRequest &request, Outcome outcome);
    void finishIfDone();
    void requestRuns();
    void handleRuns(const std::string &url, const Core::Result<int> &status, const std::string &body);
    void end();
    void showProgress();

    EventLoop::Loop &m_loop;
    LoadOptions m_options;
    Workload m_workload;
    LoadReport m_report;
    RunsCheck m_runs;
    std::mt19937_64 m_random;
    std::unique_ptr<Http::HttpClient> m_client;
    EventLoop::Timer m_sendTimer;
    EventLoop::Timer m_progressTimer;
    Core::TimePoint m_nextDue;
    Core::TimePoint m_endsAt;
    bool m_isSending = false;
    std::uint64_t m_sentCount = 0;
    std::uint64_t m_pendingCount = 0;
    std::size_t m_pendingRunLists = 0;
    std::string m_problems;
};

} // namespace Verbena::Load
