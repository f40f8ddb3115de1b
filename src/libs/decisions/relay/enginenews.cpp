#include "enginenews.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Routers that are taken to have sent to an engine as much as this one. With more of them each sends there so rarely that a second request in a row is
// chance, and would make an idle engine look like one with a long queue.
constexpr std::uint32_t mostRoutersAlike = 8;

// After most agents fell silent at once, until a router takes it that they are gone: most cuts between hosts are shorter.
constexpr milliseconds cutOffTime{6000};

// Requests that a router sends to an engine that does not answer, once its agent is silent too.
constexpr std::uint32_t mostSentToSilent = 2;

// An engine that is about to load weights first finishes what it runs. To keep that short, requests that would still run by then go elsewhere: a step
// makes a token for each request and takes 4 to 10 ms in the known deployments, and a prompt is read in some tenths of a second.
constexpr milliseconds timePerToken{6};
constexpr milliseconds readTime{250};
constexpr milliseconds longestForesight{1500};

// Of an engine, until a request that comes begins to be read: for each that waits, and for each that runs and shares its steps.
constexpr milliseconds waitPerWaiting{40};
constexpr milliseconds waitPerRunning{2};

// Beyond this part of its memory a request that comes has to wait until another one ends.
constexpr double fullMemory = 0.9;
constexpr milliseconds waitForMemory{300};

// From the moment that a request comes to an engine whose queue stands still, for instance with full memory, until it begins.
constexpr milliseconds slowestBegin{4500};

// News by which an engine begins at once: two rounds of its agent may be lost. Older ones say nothing of the queue that it has by now.
constexpr milliseconds freshNews{600};

// As slowestBegin, at an engine without fresh news and without work of this router. Loads are spread over seven tenths of the time for which old weights may
// be used, so where no agent tells anything an engine stands idle only briefly before its load, if it is ordered in time; with slowestBegin it would for
// seconds.
constexpr milliseconds unknownBegin{2700};

bool isMemoryFull(const EngineStatus &status)
{
    return static_cast<double>(status.usedTokens) > fullMemory * static_cast<double>(status.totalTokens);
}

} // namespace

void EngineNews::setRouterCount(std::uint32_t count)
{
    m_routerCount = std::max<std::uint32_t>(1, count);
}

void EngineNews::note(BackendServerId id, const EngineStatus &status, Core::TimePoint now)
{
    Heard &heard = m_heard[id];
    heard.status = status;
    heard.deadline = now + lifetime;
    heard.sentSince = 0;
    heard.status.parts.reset();
}

void EngineNews::noteSent(BackendServerId id)
{
    const auto heard = m_heard.find(id);
    if (heard != m_heard.end()) {
        ++heard->second.sentSince;
    }
}

void EngineNews::noteAnswered(BackendServerId id, Core::TimePoint now)
{
    const auto heard = m_heard.find(id);
    if (heard != m_heard.end() && now >= heard->second.deadline) {
        heard->second.sentSince = 0;
    }
}

void EngineNews::noteRestart(BackendServerId id)
{
    m_heard.erase(id);
}

void EngineNews::forget(const std::function<bool(BackendServerId)> &isGone)
{
    std::erase_if(m_heard, [&isGone](const auto &entry) { return isGone(entry.first); });
}

LoadReport EngineNews::loadOf(const EngineStatus &status)
{
    LoadReport report;
    report.incarnation = status.incarnation;
    report.running = status.running;
    report.queued = status.waiting;
    report.queuedWork = status.waiting * waitPerWaiting + status.running * waitPerRunning;
    report.queuedWork += isMemoryFull(status) ? waitForMemory : milliseconds(0);
    return report;
}

std::optional<EngineQueue> EngineNews::queue(BackendServerId id, Core::TimePoint now) const
{
    const auto heard = m_heard.find(id);
    if (heard == m_heard.end() || now >= heard->second.deadline) {
        return std::nullopt;
    }
    return EngineQueue{presentlyWaiting(heard->second), std::chrono::duration_cast<milliseconds>(now - (heard->second.deadline - lifetime))};
}

bool EngineNews::isHeldUpFromLoading(BackendServerId id, Core::TimePoint now) const
{
    const auto heard = m_heard.find(id);
    if (heard == m_heard.end() || now >= heard->second.deadline) {
        return false;
    }
    const EngineStatus &status = heard->second.status;
    return status.isLoading || (status.loadTime.has_value() && now >= *status.loadTime);
}

// Whether most agents fell silent lately: then it is likely that this router is cut off from them, and taking their engines' orders would hold up all loads.
bool EngineNews::isPerhapsCutOff(Core::TimePoint now) const
{
    std::size_t present = 0;
    std::size_t lately = 0;
    for (const auto &[id, heard] : m_heard) {
        present += now < heard.deadline ? 1 : 0;
        lately += now < heard.deadline + cutOffTime ? 1 : 0;
    }
    return 2 * present < lately;
}

// An engine whose agent fell silent may be gone with its host, or answer on. As long as nothing came back of what was sent to it since, one more request is
// enough to find out.
void EngineNews::addSilent(std::vector<BackendServerId> &ids, Core::TimePoint now) const
{
    for (const auto &[id, heard] : m_heard) {
        if (now >= heard.deadline && heard.sentSince >= mostSentToSilent) {
            ids.push_back(id);
        }
    }
}

void EngineNews::addBusyWithWeights(std::vector<BackendServerId> &ids, std::uint32_t outputTokens, Core::TimePoint now) const
{
    for (const auto &[id, heard] : m_heard) {
        if (isBusyWithWeights(heard, outputTokens, now)) {
            ids.push_back(id);
        }
    }
}

bool EngineNews::beginsAnywhere(Core::TimePoint until, Core::TimePoint now)
{
    return now + slowestBegin < until;
}

// Whether a request that comes to it now may begin after \a until, when slowestBegin is all that is left. Of an engine without fresh news this router knows its
// own unanswered work, and takes it that others have sent as much.
bool EngineNews::mayBeginLate(BackendServerId id, microseconds unanswered, Core::TimePoint until, Core::TimePoint now) const
{
    const auto known = m_heard.find(id);
    if (known != m_heard.end()) {
        const Heard &heard = known->second;
        if (presentlyWaiting(heard) > 0 || isMemoryFull(heard.status) || heard.status.isSilent) {
            return true;
        }
        if (now < heard.deadline - lifetime + freshNews) {
            return false;
        }
    }
    return now + unknownBegin + unanswered * std::min(m_routerCount, mostRoutersAlike) >= until;
}

// What waits there by the last news and what routers have sent since. Other routers choose alike, so each is taken to have sent as much as this one; a
// single request says nothing of that. Without this all routers together would fill an engine's queue between two of its news, first of all one that
// has just got new weights and seems idle.
std::uint32_t EngineNews::presentlyWaiting(const Heard &heard) const
{
    const std::uint32_t waiting = heard.status.waiting;
    const std::uint32_t telling = waiting > 0 ? heard.sentSince : heard.sentSince - std::min<std::uint32_t>(heard.sentSince, 1);
    return waiting + telling * std::min(m_routerCount, mostRoutersAlike);
}

bool EngineNews::isBusyWithWeights(const Heard &heard, std::uint32_t outputTokens, Core::TimePoint now)
{
    if (now >= heard.deadline) {
        return false;
    }
    const milliseconds expected = std::min(longestForesight, readTime + outputTokens * timePerToken);
    return heard.status.isSilent || heard.status.isLoading || (heard.status.loadTime.has_value() && now + expected > *heard.status.loadTime);
}

} // namespace Verbena::Decisions
