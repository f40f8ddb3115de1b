#include "cachewatch.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// As long as such a question is kept at most.
constexpr milliseconds waitTime{1000};

// An answer that is later than this is lost.
constexpr milliseconds answerTime{500};

// Changes come together in groups, so that a busy cache is not asked for each.
constexpr milliseconds shortestPause{200};

// Until a failed question is asked again; longer if the cache said that too many ask.
constexpr milliseconds retryPeriod{500};
constexpr milliseconds crowdedPeriod{10'000};

} // namespace

CacheWatch::CacheWatch(EventLoop::Loop &loop, CacheNewsSource &source, const std::string &address)
    : m_loop(loop)
    , m_source(source)
    , m_address(address)
    , m_pause(shortestPause)
    , m_timer(loop, [this] { ask(); })
    , m_isAlive(std::make_shared<bool>(true))
{
    m_timer.startAt(loop.now());
}

CacheWatch::~CacheWatch()
{
    *m_isAlive = false;
}

const Decisions::PartIndex &CacheWatch::index() const
{
    return m_index;
}

bool CacheWatch::isFollowing() const
{
    return m_isFollowing;
}

void CacheWatch::restart()
{
    ++m_restarts;
    m_index.clear();
    m_next = 0;
}

void CacheWatch::setPause(milliseconds pause)
{
    m_pause = std::max(shortestPause, pause);
}

void CacheWatch::setCapacity(std::uint64_t tokens)
{
    m_index.setCapacity(tokens);
}

void CacheWatch::ask()
{
    const Core::TimePoint waitEnd = m_loop.now() + waitTime;
    const auto takeIfCurrent = [this, isAlive = m_isAlive, restarts = m_restarts](const Core::Result<CacheNews> &news) {
        if (!*isAlive) {
            return;
        }
        if (restarts == m_restarts) {
            take(news);
        } else {
            m_timer.startAt(m_loop.now());
        }
    };
    m_source.awaitCacheNews(m_address, m_next, waitEnd, waitEnd + answerTime, takeIfCurrent);
}

// Numbers of events start anew with each incarnation, so that those below the last one that was read would be passed over.
void CacheWatch::takeFromBeginning()
{
    m_index.clear();
    m_next = 0;
    m_timer.startAt(m_loop.now());
}

void CacheWatch::take(const Core::Result<CacheNews> &news)
{
    if (!news) {
        noteFailure(news.error());
        return;
    }
    if (m_hasFailed) {
        m_hasFailed = false;
        Observe::log(cacheFollowed, {{"cache", m_address}});
    }
    if (news.value().incarnation != m_incarnation) {
        m_incarnation = news.value().incarnation;
        if (m_next > 0) {
            takeFromBeginning();
            return;
        }
        m_index.clear();
    }
    for (const Decisions::PartEvent &event : news.value().events) {
        m_index.apply(event);
    }
    m_next = news.value().next;
    m_isFollowing = true;
    m_timer.startAt(m_loop.now() + m_pause);
}

void CacheWatch::noteFailure(const Core::Error &error)
{
    if (!m_hasFailed) {
        m_hasFailed = true;
        Observe::log(cacheLost, error, {{"cache", m_address}});
    }
    m_isFollowing = false;
    m_timer.startAt(m_loop.now() + (error.code == Core::ErrorCode::ResourceExhausted ? crowdedPeriod : retryPeriod));
}

} // namespace Verbena::Relay
