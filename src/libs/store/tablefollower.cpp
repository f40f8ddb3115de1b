#include "tablefollower.h"

#include <eventloop/loop.h>

#include <algorithm>
#include <utility>

namespace Verbena::Store {

using std::chrono::milliseconds;

namespace {

// Time from a failure to the next request. It doubles with each further failure, so that a recovering store is not overloaded.
constexpr milliseconds initialRetryInterval{60};
constexpr std::uint32_t maximumRetryDoublings = 4;

} // namespace

TableFollower::TableFollower(EventLoop::Loop &loop, RowSource &source, std::string table, milliseconds pause, RowConsumer &consumer, const FollowTimes &times)
    : m_loop(loop)
    , m_source(source)
    , m_pause(pause)
    , m_consumer(consumer)
    , m_times(times)
    , m_requestTimer(loop, [this] { sendRequest(); })
    , m_answerTimer(loop,
          [this] {
              handleFailure({Core::ErrorCode::DeadlineExceeded, "store.follow", m_table, "The store did not answer in time."});
          })
    , m_version(table)
    , m_table(std::move(table))
{
    scheduleRequest(loop.now());
}

TableFollower::~TableFollower() = default;

void TableFollower::setPause(milliseconds pause)
{
    m_pause = pause;
}

const std::string &TableFollower::table() const
{
    return m_table;
}

std::uint64_t TableFollower::revision() const
{
    return m_version.revision();
}

std::optional<milliseconds> TableFollower::age() const
{
    const std::optional<StoreTime> verifiedAt = m_version.verifiedAt();
    return verifiedAt.has_value() ? m_clock.age(*verifiedAt, Core::BootClock::now()) : std::nullopt;
}

TableDigest TableFollower::digest() const
{
    return m_version.digest();
}

TableVersion::Comparison TableFollower::compare(const TableDigest &theirs) const
{
    return m_version.compare(theirs);
}

// No process knows what the store will acknowledge later. Such a time would hide all real ones, and be passed on.
bool TableFollower::isInFuture(const std::optional<StoreTime> &time) const
{
    const std::optional<StoreTime> present = m_clock.latest(Core::BootClock::now());
    return present.has_value() && time > present;
}

void TableFollower::confirm(const TableDigest &theirs)
{
    if (!isInFuture(theirs.verifiedAt) && m_version.confirm(theirs)) {
        m_lastPeerUpdateAt = Core::BootClock::now();
        handleVerified();
    }
}

Core::Result<void> TableFollower::offer(RowPage page, std::uint64_t requestedRevision)
{
    const bool isWhole = requestedRevision == 0;
    if (page.isHistoryLost || page.revision < requestedRevision || (!isWhole && !m_version.isRead())) {
        return Core::success();
    }
    const Core::BootTime now = Core::BootClock::now();
    BOOST_OUTCOME_TRY(apply({0, requestedRevision, now, isWhole, false}, std::move(page)));
    m_lastPeerUpdateAt = now;
    return Core::success();
}

// A long poll that never reached the store is detected only when it times out, and changes would be missed until then.
bool TableFollower::pollNow()
{
    const Core::TimePoint now = m_loop.now();
    if (m_failures > 0 || !m_isHistoryKnown) {
        return false;
    }
    if (now < m_pollDeadline) {
        return true;
    }
    m_pollDeadline = now + m_times.answerTimeout;
    const Request request{0, m_version.revision(), Core::BootClock::now(), false, false};
    const auto handle = [this, request](Core::Result<RowPage> page) {
        if (page) {
            m_pollDeadline = {};
        }
        handlePage(request, std::move(page));
    };
    m_source.awaitChanges(m_table, request.revision, now, now + m_times.slowAnswerTimeout, m_lifetime.guard(handle));
    return true;
}

bool TableFollower::reread(std::function<void()> done)
{
    const Core::TimePoint now = m_loop.now();
    if (now < m_rereadDeadline) {
        return false;
    }
    m_rereadDeadline = now + m_times.sharedMaximumWait;
    const Request request{0, m_version.revision(), Core::BootClock::now(), true, false};
    const auto handle = [this, request, done = std::move(done)](Core::Result<RowPage> page) {
        handleReread(request, std::move(page), done);
    };
    m_source.readTable(m_table, now + m_times.slowAnswerTimeout, m_lifetime.guard(handle));
    return true;
}

// The answer of another process proves nothing, since its copy may be the wrong one.
void TableFollower::handleReread(const Request &request, Core::Result<RowPage> page, const std::function<void()> &done)
{
    if (!page || page.value().isFromPeer || page.value().revision < request.revision) {
        return;
    }
    const std::uint64_t hashBefore = m_version.digest().contentHash;
    if (apply(request, std::move(page.value())) && m_version.digest().contentHash != hashBefore) {
        done();
    }
}

// After a failure a request without waiting time shows sooner whether the store is back. A long poll that the store never received would hang while changes
// are missed.
void TableFollower::sendRequest()
{
    const Core::TimePoint now = m_loop.now();
    const bool isLongPoll = m_isHistoryKnown && m_failures == 0;
    const Core::TimePoint waitEnd = isLongPoll ? now + m_times.maximumWait : now;
    const Core::TimePoint deadline = isLongPoll ? waitEnd + m_times.answerTimeout : now + m_times.slowAnswerTimeout;
    const Request request{++m_lastRequestNumber, m_version.revision(), Core::BootClock::now(), !m_isHistoryKnown, isLongPoll};
    m_answerTimer.startAt(waitEnd + m_times.answerTimeout);
    const auto handle = [this, request](Core::Result<RowPage> page) {
        handlePage(request, std::move(page));
    };
    if (request.isWhole) {
        m_source.readTable(m_table, deadline, m_lifetime.guard(handle));
    } else {
        m_source.awaitChanges(m_table, request.revision, waitEnd, deadline, m_lifetime.guard(handle));
    }
}

bool TableFollower::isCurrent(const Request &request) const
{
    return request.number == m_lastRequestNumber && m_answerTimer.isActive();
}

// The answer of a slow store may arrive after its request was given up; it is still valid.
void TableFollower::handlePage(const Request &request, Core::Result<RowPage> page)
{
    if (!page || page.value().isHistoryLost || page.value().revision < request.revision) {
        handleFailedRequest(request, page);
        return;
    }
    const bool isFromPeer = page.value().isFromPeer;
    if (const auto applied = apply(request, std::move(page.value())); !applied) {
        handleRefusedPage(request, applied.error());
        return;
    }
    if (isCurrent(request)) {
        handleAnswer(isFromPeer);
    } else if (!isFromPeer) {
        m_failures = 0;
        markRegained();
    }
}

void TableFollower::handleFailedRequest(const Request &request, const Core::Result<RowPage> &page)
{
    if (!isCurrent(request)) {
        return;
    }
    m_answerTimer.stop();
    if (!page) {
        handleFailure(page.error());
    } else if (page.value().isHistoryLost) {
        handleHistoryLost();
    } else {
        rejectStaleAnswer(request, page.value());
    }
}

// The same rows would come again at once, so the next request waits as after any other failure.
void TableFollower::handleRefusedPage(const Request &request, const Core::Error &error)
{
    if (isCurrent(request)) {
        m_answerTimer.stop();
        handleFailure(error);
    }
}

Core::Error TableFollower::tooLongError() const
{
    return {Core::ErrorCode::ResourceExhausted, "store.follow", m_table, "The table would be longer than a process keeps."};
}

// A whole table that was superseded by data of other processes brings no new rows, but changes can be requested again from then on.
Core::Result<void> TableFollower::apply(const Request &request, RowPage page)
{
    if (isInFuture(page.verifiedAt)) {
        page.verifiedAt.reset();
    }
    const std::optional<StoreTime> before = m_version.verifiedAt();
    BOOST_OUTCOME_TRY(request.isWhole ? applyTable(request, page) : applyChanges(request, page));
    m_isHistoryKnown = true;
    const std::optional<StoreTime> verifiedAt = m_version.verifiedAt();
    if (verifiedAt.has_value() && verifiedAt != before) {
        handleVerified();
    }
    return Core::success();
}

void TableFollower::handleVerified()
{
    m_consumer.tableVerified(m_table, *m_version.verifiedAt(), m_version.revision());
    if (m_isLost && isStoreServingPeers()) {
        markRegained();
    }
}

Core::Result<void> TableFollower::applyTable(const Request &request, RowPage &page)
{
    const std::uint64_t knownRevision = m_version.revision();
    const TableVersion::ApplyResult result = m_version.applyTable(page, request.revision);
    if (result == TableVersion::ApplyResult::TooLong) {
        return tooLongError();
    }
    if (result == TableVersion::ApplyResult::Applied) {
        setCommitTimes(request, page, knownRevision);
        m_consumer.replaceRows(m_table, page);
    }
    return Core::success();
}

Core::Result<void> TableFollower::applyChanges(const Request &request, RowPage &page)
{
    const std::uint64_t knownRevision = m_version.revision();
    m_wasHistoryLost = false;
    if (m_version.applyChanges(page, request.revision) == TableVersion::ApplyResult::TooLong) {
        return tooLongError();
    }
    setCommitTimes(request, page, knownRevision);
    if (!page.rows.empty()) {
        m_consumer.changeRows(m_table, page);
    }
    return Core::success();
}

// The store answers a long poll as soon as something changes. So a change can be older than the answer that reports it only by the time for which no long
// poll was pending: from when the last answer was given, not when it arrived, until the present request was sent by this follower or by another process on
// its behalf. A request without waiting time may be answered long after it was sent, with changes made long before.
std::optional<StoreTime> TableFollower::earliestCommitTime(const Request &request, const RowPage &page) const
{
    if (!m_lastAnsweredAt.has_value() || !request.isLongPoll) {
        return m_lastAnsweredAt;
    }
    const Core::BootTime sentAt = page.clock.has_value() ? page.clock->requestedAt : request.requestedAt;
    const StoreTime sent = m_clock.latest(sentAt).value_or(*page.answeredAt);
    const StoreTime::duration timeWithoutRequest = std::max(StoreTime::duration(0), sent - *m_lastAnsweredAt);
    return std::max(*m_lastAnsweredAt, *page.answeredAt - timeWithoutRequest);
}

// Sets the commit times of the rows after \a knownRevision and updates the clock estimate. Another process has already set the times of its rows as well
// as it can.
void TableFollower::setCommitTimes(const Request &request, RowPage &page, std::uint64_t knownRevision)
{
    if (page.answeredAt.has_value()) {
        const std::optional<StoreTime> committedAfter = earliestCommitTime(request, page);
        for (TableRow &row : page.rows) {
            if (row.revision > knownRevision) {
                row.committedAfter = committedAfter;
            }
        }
        m_lastAnsweredAt = std::max(m_lastAnsweredAt, page.answeredAt);
        page.clock = page.clock.value_or(StoreReading{*page.answeredAt, request.requestedAt});
    }
    if (page.clock.has_value()) {
        m_clock.addReading(*page.clock);
    }
}

// The whole table is read at once, but with a pause if the history is lost repeatedly: a stale table may end where the history is still lost, and would be
// read over and over.
void TableFollower::handleHistoryLost()
{
    m_isHistoryKnown = false;
    const bool isRepeated = std::exchange(m_wasHistoryLost, true);
    scheduleRequest(isRepeated ? m_loop.now() + nextRetryInterval() : m_loop.now());
}

void TableFollower::rejectStaleAnswer(const Request &request, const RowPage &page)
{
    StaleAnswer stale{page.revision, request.revision, {}};
    if (page.answeredAt.has_value()) {
        stale.answerAge = m_clock.age(*page.answeredAt, Core::BootClock::now());
    }
    m_consumer.staleAnswerReceived(m_table, stale);
    handleFailure({Core::ErrorCode::Conflict, "store.follow", m_table, "The store's answer is older than an earlier one."});
}

void TableFollower::scheduleRequest(Core::TimePoint time)
{
    m_requestTimer.startAt(time);
}

void TableFollower::handleFailure(const Core::Error &error)
{
    const Core::BootTime now = Core::BootClock::now();
    m_failedSince = m_failures == 0 ? now : m_failedSince;
    // Peers that send updates need some time to report that the store still answers them.
    const bool arePeersUpdating = now - m_lastPeerUpdateAt < m_times.bound && now - m_failedSince < m_times.sharedMaximumWait;
    if (!m_isLost && !arePeersUpdating && !isStoreServingPeers()) {
        m_isLost = true;
        m_consumer.sourceLost(m_table, error);
    }
    scheduleRequest(m_loop.now() + nextRetryInterval());
}

// Returns whether peers reported an answer of the store since it stopped answering here, so that it refuses only some processes.
bool TableFollower::isStoreServingPeers() const
{
    const std::optional<milliseconds> knownAge = age();
    return knownAge.has_value() && *knownAge < m_times.sharedMaximumAge && *knownAge < Core::BootClock::now() - m_failedSince;
}

milliseconds TableFollower::nextRetryInterval()
{
    const milliseconds wait = std::min(m_times.maximumRetryInterval, initialRetryInterval * (1 << std::min(m_failures, maximumRetryDoublings)));
    ++m_failures;
    return wait;
}

void TableFollower::markRegained()
{
    if (m_isLost) {
        m_isLost = false;
        m_consumer.sourceRegained(m_table);
    }
}

// Data of another process is equally valid but says nothing about the store, so the next request is sent as after a failure.
void TableFollower::handleAnswer(bool isFromPeer)
{
    m_answerTimer.stop();
    markRegained();
    if (isFromPeer) {
        scheduleRequest(m_loop.now() + std::max(m_pause, nextRetryInterval()));
        return;
    }
    m_failures = 0;
    scheduleRequest(m_loop.now() + m_pause);
}

} // namespace Verbena::Store
