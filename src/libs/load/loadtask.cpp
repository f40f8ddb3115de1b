#include "loadtask.h"

#include <eventloop/loop.h>

#include <iostream>
#include <optional>

namespace Verbena::Load {

namespace {

constexpr std::chrono::milliseconds progressInterval{250};
constexpr std::chrono::seconds runsTimeout{20};

// A list of some million runs.
constexpr std::uint64_t maximumRunsBytes = 256 * 1024 * 1024;

} // namespace

/// Checks one answer and records its latencies.
class LoadTask::AnswerReceiver : public Http::HttpReceiver
{
public:
    AnswerReceiver(LoadTask &task, LoadRequest request)
        : m_task(task)
        , m_request(std::move(request))
        , m_checker(m_request)
        , m_sentAt(Core::Clock::now())
    {
    }

    void receiveField(std::string_view name, std::string_view value) override
    {
        m_checker.receiveField(name, value);
    }

    void receiveData(int status, std::string_view data) override
    {
        if (m_checker.receiveData(status, data) == 0) {
            return;
        }
        const Core::TimePoint now = Core::Clock::now();
        LoadTally &tally = m_task.m_report.tally(m_request.organisation);
        if (m_lastTokenAt) {
            tally.betweenTokens.record(now - *m_lastTokenAt);
        } else {
            tally.firstToken.record(now - m_sentAt);
        }
        m_lastTokenAt = now;
    }

    void finish(Core::Result<int> status) override
    {
        const Outcome outcome = m_checker.finish(status);
        LoadTally &tally = m_task.m_report.tally(m_request.organisation);
        tally.usage.promptTokens += m_checker.usage().promptTokens;
        tally.usage.cachedTokens += m_checker.usage().cachedTokens;
        if (outcome == Outcome::Complete) {
            tally.completeAnswer.record(Core::Clock::now() - m_sentAt);
        } else {
            m_task.m_report.addExample(outcome, m_checker.explanation());
        }
        m_task.handleOutcome(m_request, outcome);
    }

private:
    LoadTask &m_task;
    LoadRequest m_request;
    AnswerChecker m_checker;
    Core::TimePoint m_sentAt;
    std::optional<Core::TimePoint> m_lastTokenAt;
};

/// Receives the list of runs of one service.
class LoadTask::RunsReceiver : public Http::HttpReceiver
{
public:
    RunsReceiver(LoadTask &task, std::string url)
        : m_task(task)
        , m_url(std::move(url))
    {
    }

    void receiveData(int, std::string_view data) override
    {
        m_body.append(data);
    }

    void finish(Core::Result<int> status) override
    {
        m_task.handleRuns(m_url, status, m_body);
    }

private:
    LoadTask &m_task;
    std::string m_url;
    std::string m_body;
};

Core::Result<std::unique_ptr<LoadTask>> LoadTask::create(EventLoop::Loop &loop, const LoadOptions &options)
{
    if (options.targets.empty()) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "load.start", "", "No target is given."};
    }
    std::unique_ptr<LoadTask> task(new LoadTask(loop, options));
    VERBENA_TRY(created, Http::HttpClient::create(loop));
    task->m_client = std::move(created);
    return task;
}

LoadTask::LoadTask(EventLoop::Loop &loop, const LoadOptions &options)
    : m_loop(loop)
    , m_options(options)
    , m_workload(options.workload)
    , m_report(Workload::organisations(options.workload.kind))
    , m_random(options.workload.seed)
    , m_sendTimer(loop, [this] { sendDueRequests(); })
    , m_progressTimer(loop, [this] { showProgress(); })
{
}

void LoadTask::start()
{
    m_isSending = true;
    m_nextDue = m_loop.now();
    m_endsAt = m_nextDue + m_options.duration;
    m_sendTimer.startAt(m_nextDue);
    if (m_options.isShowingProgress) {
        showProgress();
    }
}

void LoadTask::stopSending()
{
    m_isSending = false;
    m_sendTimer.stop();
    finishIfDone();
}

const LoadReport &LoadTask::report() const
{
    return m_report;
}

const std::string &LoadTask::problems() const
{
    return m_problems;
}

void LoadTask::sendDueRequests()
{
    std::exponential_distribution<double> gap(m_options.requestsPerSecond);
    while (m_nextDue <= Core::Clock::now() && m_nextDue < m_endsAt) {
        send(m_nextDue);
        m_nextDue += std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(gap(m_random)));
    }
    if (m_nextDue < m_endsAt) {
        m_sendTimer.startAt(m_nextDue);
    } else {
        stopSending();
    }
}

void LoadTask::send(Core::TimePoint due)
{
    LoadRequest request = m_workload.next();
    Http::HttpCall call;
    call.method = "POST";
    call.url = m_options.targets[m_sentCount % m_options.targets.size()] + request.path;
    call.fields = request.fields;
    call.body = request.body;
    call.isRepeatable = m_options.isKeepingConnections;
    if (request.kind == RequestKind::ServiceCall) {
        m_runs.addNonIdempotent(request.body);
    } else {
        request.body.clear();
    }
    ++m_sentCount;
    ++m_pendingCount;
    ++m_report.tally(request.organisation).sent;
    const Core::TimePoint now = Core::Clock::now();
    m_report.recordLateness(now - due);
    call.deadline = now + m_options.timeout;
    // Streams are checked event by event and not kept.
    call.limits.bodyBytes.reset();
    m_client->start(call, std::make_shared<AnswerReceiver>(*this, std::move(request)));
}

void LoadTask::handleOutcome(const LoadRequest &request, Outcome outcome)
{
    ++m_report.tally(request.organisation).outcomes[static_cast<std::size_t>(outcome)];
    if (outcome == Outcome::NotRun && request.kind == RequestKind::ServiceCall) {
        m_runs.addNotRun(request.body);
    }
    --m_pendingCount;
    finishIfDone();
}

void LoadTask::finishIfDone()
{
    if (!m_isSending && m_pendingCount == 0) {
        requestRuns();
    }
}

void LoadTask::requestRuns()
{
    m_pendingRunLists = m_options.serviceUrls.size();
    for (const std::string &url : m_options.serviceUrls) {
        Http::HttpCall call;
        call.url = url + "/runs";
        call.deadline = m_loop.now() + runsTimeout;
        call.limits.bodyBytes = maximumRunsBytes;
        m_client->start(call, std::make_shared<RunsReceiver>(*this, call.url));
    }
    if (m_pendingRunLists == 0) {
        end();
    }
}

void LoadTask::handleRuns(const std::string &url, const Core::Result<int> &status, const std::string &body)
{
    if (!status) {
        m_problems += url + ": " + status.error().toString() + "\n";
    } else if (const Core::Result<void> added = m_runs.addRuns(body); !added) {
        m_problems += url + ": " + added.error().toString() + "\n";
    }
    if (--m_pendingRunLists == 0) {
        m_report.addDuplicateRuns(m_runs.duplicateCount());
        m_report.addFalseNotRuns(m_runs.falseNotRunCount());
        end();
    }
}

void LoadTask::end()
{
    m_progressTimer.stop();
    if (m_options.isShowingProgress) {
        std::cerr << '\n';
    }
    m_loop.stop();
}

void LoadTask::showProgress()
{
    const LoadTally total = m_report.total();
    std::cerr << "\rsent " << total.sent << ", open " << m_pendingCount << ", whole " << total.count(Outcome::Complete) << ", not run "
              << total.count(Outcome::NotRun) << "   " << std::flush;
    m_progressTimer.startAt(m_loop.now() + progressInterval);
}

} // namespace Verbena::Load
