#include "enginereports.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Maximum number of routers that are assumed to have sent as many requests to an engine as this one. With more of them each sends to one engine so rarely that
// a second request in a row is chance, and scaling it up would make an idle engine look like one with a long queue.
constexpr std::uint32_t maxScaledRouters = 8;

// After most agents fell silent at once, time until the router assumes that they are gone and not that it is cut off: most network failures between hosts are
// shorter.
constexpr milliseconds isolationTimeout{6000};

// Maximum number of unanswered requests that a router sends to an engine whose report has expired.
constexpr std::uint32_t maxSentAfterExpiry = 2;

// Time without a report, while others report, after which one must be missing.
constexpr milliseconds lateReportTime{400};

// Average interval at which any of the routers sends a request to a silent engine, in case only its agent has stopped.
constexpr milliseconds trialInterval{1000};

// An engine that is about to load weights first finishes its requests. To keep that short, requests that would still run by then are sent elsewhere. A step
// generates one token for each request and takes 4 to 10 ms in the deployments in use; the prefill of a prompt takes some tenths of a second.
constexpr milliseconds timePerToken{6};
constexpr milliseconds prefillTime{250};
constexpr milliseconds maxExpectedRun{1500};

// Time until an engine starts the prefill of a new request: for each waiting request, and for each running request, with which it shares its steps.
constexpr milliseconds waitPerWaiting{40};
constexpr milliseconds waitPerRunning{2};

// Above this fraction of used memory a new request has to wait until another one ends.
constexpr double fullMemoryFraction = 0.9;
constexpr milliseconds waitForMemory{300};

// Time from the arrival of a request until it starts, at an engine whose queue is stalled, for instance because its memory is full.
constexpr milliseconds slowStartDelay{4500};

// Age up to which a report that shows an idle engine proves that a request starts at once: two rounds of its agent may be lost. Older reports say nothing
// about the present queue.
constexpr milliseconds freshReportAge{600};

// Like slowStartDelay, for an engine without a fresh report and without work of this router. Loads are distributed over seven tenths of the time for which old
// weights may be used, so where no agent reports an engine is idle only briefly before its load, if it is ordered in time; with slowStartDelay it would be
// idle for seconds.
constexpr milliseconds unknownStartDelay{2700};

// After a time without any report, from the first one on, the time until those of all other agents have arrived: an agent reports at least every 250 ms.
constexpr milliseconds reportsReturnTime{500};

bool isMemoryFull(const EngineStatus &status)
{
    return static_cast<double>(status.usedTokens) > fullMemoryFraction * static_cast<double>(status.totalTokens);
}

} // namespace

void EngineReports::setRouterCount(std::uint32_t count)
{
    m_routerCount = std::max<std::uint32_t>(1, count);
}

void EngineReports::update(BackendServerId id, const EngineStatus &status, Core::TimePoint now)
{
    if (now >= m_newestReportAt + silenceTime) {
        m_silenceKnownFrom = now + reportsReturnTime;
    }
    m_newestReportAt = now;
    StatusReport &report = m_reports[id];
    report.status = status;
    report.deadline = now + lifetime;
    report.sentSince = 0;
    report.status.parts.reset();
    report.isActiveSince = false;
    report.nextTrial = now + silenceTime + trialInterval * m_routerCount;
}

void EngineReports::recordSent(BackendServerId id, Core::TimePoint now)
{
    const auto report = m_reports.find(id);
    if (report == m_reports.end()) {
        return;
    }
    ++report->second.sentSince;
    if (isSilent(report->second, now)) {
        report->second.nextTrial = now + trialInterval * m_routerCount;
    }
}

// What came before the engine counted as silent was sent before its host stopped.
void EngineReports::recordActivity(BackendServerId id, Core::TimePoint now)
{
    const auto report = m_reports.find(id);
    if (report != m_reports.end() && isSilent(report->second, now)) {
        report->second.isActiveSince = true;
    }
}

void EngineReports::recordAnswered(BackendServerId id, Core::TimePoint now)
{
    const auto report = m_reports.find(id);
    if (report != m_reports.end() && now >= report->second.deadline) {
        report->second.sentSince = 0;
    }
}

void EngineReports::discard(BackendServerId id)
{
    m_reports.erase(id);
}

void EngineReports::removeIf(const std::function<bool(BackendServerId)> &isGone)
{
    std::erase_if(m_reports, [&isGone](const auto &entry) { return isGone(entry.first); });
}

LoadReport EngineReports::loadReport(const EngineStatus &status)
{
    LoadReport report;
    report.incarnation = status.incarnation;
    report.running = status.running;
    report.queued = status.waiting;
    report.queuedWork = status.waiting * waitPerWaiting + status.running * waitPerRunning;
    report.queuedWork += isMemoryFull(status) ? waitForMemory : milliseconds(0);
    return report;
}

std::optional<EngineQueue> EngineReports::queue(BackendServerId id, Core::TimePoint now) const
{
    const auto report = m_reports.find(id);
    if (report == m_reports.end() || now >= report->second.deadline) {
        return std::nullopt;
    }
    return EngineQueue{estimateWaiting(report->second), age(report->second, now)};
}

std::optional<milliseconds> EngineReports::reportAge(BackendServerId id, Core::TimePoint now) const
{
    const auto report = m_reports.find(id);
    return report == m_reports.end() ? std::nullopt : std::optional(age(report->second, now));
}

bool EngineReports::isSilent(BackendServerId id, Core::TimePoint now) const
{
    const auto report = m_reports.find(id);
    return report != m_reports.end() && isSilent(report->second, now);
}

std::size_t EngineReports::silentCount(Core::TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_reports.begin(), m_reports.end(), [&](const auto &entry) { return isSilent(entry.second, now); }));
}

bool EngineReports::isWaitingToLoad(BackendServerId id, Core::TimePoint now) const
{
    const auto report = m_reports.find(id);
    if (report == m_reports.end() || now >= report->second.deadline) {
        return false;
    }
    const EngineStatus &status = report->second.status;
    return status.isLoading || (status.loadTime.has_value() && now >= *status.loadTime);
}

// If most agents fell silent recently, this router is probably cut off from them, and taking over the orders of their engines would block all loads.
bool EngineReports::isLikelyIsolated(Core::TimePoint now) const
{
    std::size_t present = 0;
    std::size_t recent = 0;
    for (const auto &[id, report] : m_reports) {
        present += now < report.deadline ? 1 : 0;
        recent += now < report.deadline + isolationTimeout ? 1 : 0;
    }
    return 2 * present < recent;
}

// An engine whose agent fell silent may be lost together with its host, or may still answer. As long as no request sent to it since has been answered, one
// more is enough to find out.
void EngineReports::addSilent(std::vector<BackendServerId> &ids, Core::TimePoint now) const
{
    for (const auto &[id, report] : m_reports) {
        const bool isTried = now >= report.deadline && report.sentSince >= maxSentAfterExpiry;
        if (isTried || (isSilent(report, now) && now < report.nextTrial)) {
            ids.push_back(id);
        }
    }
}

void EngineReports::addLate(std::vector<BackendServerId> &ids) const
{
    for (const auto &[id, report] : m_reports) {
        if (m_newestReportAt >= receivedAt(report) + lateReportTime) {
            ids.push_back(id);
        }
    }
}

void EngineReports::addBusyWithWeights(std::vector<BackendServerId> &ids, std::uint32_t outputTokens, Core::TimePoint now) const
{
    for (const auto &[id, report] : m_reports) {
        if (isBusyWithWeights(report, outputTokens, now)) {
            ids.push_back(id);
        }
    }
}

bool EngineReports::startsInTimeAnywhere(Core::TimePoint until, Core::TimePoint now)
{
    return now + slowStartDelay < until;
}

// Applies when slowStartDelay or less is left until \a until. For an engine without a fresh report this router knows only its own unanswered work, and assumes
// that other routers have sent as much.
bool EngineReports::mayStartLate(BackendServerId id, microseconds unanswered, Core::TimePoint until, Core::TimePoint now) const
{
    const auto entry = m_reports.find(id);
    if (entry != m_reports.end()) {
        const StatusReport &report = entry->second;
        if (estimateWaiting(report) > 0 || isMemoryFull(report.status) || report.status.isSilent) {
            return true;
        }
        if (now < report.deadline - lifetime + freshReportAge) {
            return false;
        }
    }
    return now + unknownStartDelay + unanswered * std::min(m_routerCount, maxScaledRouters) >= until;
}

Core::TimePoint EngineReports::receivedAt(const StatusReport &report)
{
    return report.deadline - lifetime;
}

milliseconds EngineReports::age(const StatusReport &report, Core::TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(now - receivedAt(report));
}

// Counted up to the newest report and not up to now: a router that stood still, is slow or is cut off hears nothing of any agent.
bool EngineReports::isSilent(const StatusReport &report, Core::TimePoint now) const
{
    return !report.isActiveSince && now >= m_silenceKnownFrom && m_newestReportAt >= receivedAt(report) + silenceTime;
}

// Adds the requests that routers have sent since the last report to those that it lists. Other routers choose alike, so each is assumed to have sent as much
// as this one; a single request is no evidence of that. Without this estimate all routers together would fill the queue of an engine between two of its
// reports, above all that of an engine that has just loaded new weights and looks idle.
std::uint32_t EngineReports::estimateWaiting(const StatusReport &report) const
{
    const std::uint32_t waiting = report.status.waiting;
    const std::uint32_t significantSent = waiting > 0 ? report.sentSince : report.sentSince - std::min<std::uint32_t>(report.sentSince, 1);
    return waiting + significantSent * std::min(m_routerCount, maxScaledRouters);
}

bool EngineReports::isBusyWithWeights(const StatusReport &report, std::uint32_t outputTokens, Core::TimePoint now)
{
    if (now >= report.deadline) {
        return false;
    }
    const milliseconds expected = std::min(maxExpectedRun, prefillTime + outputTokens * timePerToken);
    return report.status.isSilent || report.status.isLoading || (report.status.loadTime.has_value() && now + expected > *report.status.loadTime);
}

} // namespace Verbena::Decisions
