#include "cachemonitor.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Maximum time for which the cache keeps a long poll.
constexpr milliseconds longPollTime{1000};

// Time after the end of a long poll after which its answer counts as lost.
constexpr milliseconds answerTimeout{500};

// Changes are fetched in groups, so that a busy cache does not get a request for each.
constexpr milliseconds minimumPause{200};

// Time until a failed request is repeated; longer if the cache reported too many requesters or answered too much.
constexpr milliseconds retryInterval{500};
constexpr milliseconds crowdedRetryInterval{10'000};

} // namespace

CacheMonitor::CacheMonitor(EventLoop::Loop &loop, CacheChangeSource &source, const std::string &address)
    : m_loop(loop)
    , m_source(source)
    , m_address(address)
    , m_pause(minimumPause)
    , m_timer(loop, [this] { sendRequest(); })
    , m_isAlive(std::make_shared<bool>(true))
{
    m_timer.startAt(loop.now());
}

CacheMonitor::~CacheMonitor()
{
    *m_isAlive = false;
}

const Decisions::PartIndex &CacheMonitor::index() const
{
    return m_index;
}

bool CacheMonitor::isFollowing() const
{
    return m_isFollowing;
}

void CacheMonitor::restart()
{
    ++m_restarts;
    m_index.clear();
    m_next = 0;
}

void CacheMonitor::setPause(milliseconds pause)
{
    m_pause = std::max(minimumPause, pause);
}

void CacheMonitor::setCapacity(std::uint64_t tokens)
{
    m_index.setCapacity(tokens);
}

void CacheMonitor::sendRequest()
{
    const Core::TimePoint waitEnd = m_loop.now() + longPollTime;
    const auto handleIfCurrent = [this, isAlive = m_isAlive, restarts = m_restarts](const Core::Result<CacheChanges> &changes) {
        if (!*isAlive) {
            return;
        }
        if (restarts == m_restarts) {
            handleChanges(changes);
        } else {
            m_timer.startAt(m_loop.now());
        }
    };
    m_source.awaitCacheChanges(m_address, m_next, waitEnd, waitEnd + answerTimeout, handleIfCurrent);
}

// Event numbers start anew with each incarnation, so events with numbers up to the last one that was read would be skipped.
void CacheMonitor::readFromStart()
{
    m_index.clear();
    m_next = 0;
    m_timer.startAt(m_loop.now());
}

void CacheMonitor::handleChanges(const Core::Result<CacheChanges> &changes)
{
    if (!changes) {
        handleFailure(changes.error());
        return;
    }
    if (m_hasFailed) {
        m_hasFailed = false;
        Observe::log(cacheFollowed, {{"cache", m_address}});
    }
    if (changes.value().incarnation != m_incarnation) {
        m_incarnation = changes.value().incarnation;
        if (m_next > 0) {
            readFromStart();
            return;
        }
        m_index.clear();
    }
    for (const Decisions::PartEvent &event : changes.value().events) {
        m_index.apply(event);
    }
    m_next = changes.value().next;
    m_isFollowing = true;
    m_timer.startAt(m_loop.now() + m_pause);
}

void CacheMonitor::handleFailure(const Core::Error &error)
{
    if (!m_hasFailed) {
        m_hasFailed = true;
        Observe::log(cacheLost, error, {{"cache", m_address}});
    }
    m_isFollowing = false;
    m_timer.startAt(m_loop.now() + (error.code == Core::ErrorCode::ResourceExhausted ? crowdedRetryInterval : retryInterval));
}

} // namespace Verbena::Relay
