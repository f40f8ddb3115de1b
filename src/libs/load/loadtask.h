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

/// \brief What is sent where, and for how long.
struct LoadOptions
{
    std::vector<std::string> targets; ///< For instance "http://127.0.0.1:8080"; requests go to each in turn.
    std::vector<std::string> serviceUrls; ///< Of the plain services, whose `GET /runs` is compared in the end.
    double requestsPerSecond = 50;
    std::chrono::milliseconds duration{10'000}; ///< Requests are sent for so long; answers are waited for after that.
    std::chrono::milliseconds timeout{30'000}; ///< Of each request.
    bool isKeepingConnections = false; ///< Uses connections again; libcurl then repeats a request on one that turns out to be dead.
    bool isShowingProgress = false; ///< One line on standard error that is written over.
    WorkloadOptions workload;
};

/// \brief Sends requests at random moments, whether earlier ones have been answered or not, and checks every answer.
class LoadTask
{
public:
    /// \brief Makes a task that ends \a loop when all is done. Errors: InvalidArgument without a target, Internal.
    static Core::Result<std::unique_ptr<LoadTask>> create(EventLoop::Loop &loop, const LoadOptions &options);

    /// \brief Begins to send.
    void start();

    /// \brief Stops sending; waits for the answers that are missing.
    void stopSending();

    const LoadReport &report() const;

    /// \brief What could not be compared, one sentence a line; empty if nothing.
    const std::string &problems() const;

private:
    class AnswerReceiver;
    class RunsReceiver;

    LoadTask(EventLoop::Loop &loop, const LoadOptions &options);
    void sendDue();
    void send(Core::TimePoint due);
    void finishOne(const LoadRequest &request, Outcome outcome);
    void finishIfDone();
    void askForRuns();
    void finishRuns(const std::string &url, const Core::Result<int> &status, const std::string &body);
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
    std::uint64_t m_openCount = 0;
    std::size_t m_runsMissing = 0;
    std::string m_problems;
};

} // namespace Verbena::Load
