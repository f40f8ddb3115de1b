#include "tablefollower.h"

#include <eventloop/loop.h>

#include <algorithm>
#include <utility>

namespace Verbena::Store {

using std::chrono::milliseconds;

namespace {

// Of the first question after a failure; doubles with each further one, so that a store that comes back is not overrun.
constexpr milliseconds firstRetry{60};
constexpr std::uint32_t mostDoublings = 4;

} // namespace

TableFollower::TableFollower(EventLoop::Loop &loop, RowSource &source, std::string table, milliseconds pause, RowConsumer &consumer, const FollowTimes &times)
    : m_loop(loop)
    , m_source(source)
    , m_pause(pause)
    , m_consumer(consumer)
    , m_times(times)
    , m_timer(loop, [this] { ask(); })
    , m_patience(loop,
          [this] {
              noteFailure({Core::ErrorCode::DeadlineExceeded, "store.follow", m_table, "No answer came in time."});
          })
    , m_knowledge(table)
    , m_table(std::move(table))
{
    askAgainAt(loop.now());
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
    return m_knowledge.revision();
}

std::optional<milliseconds> TableFollower::age() const
{
    const std::optional<StoreTime> verifiedAt = m_knowledge.verifiedAt();
    return verifiedAt.has_value() ? m_clock.age(*verifiedAt, Core::BootClock::now()) : std::nullopt;
}

TableDigest TableFollower::digest() const
{
    return m_knowledge.digest();
}

TableKnowledge::Comparison TableFollower::compare(const TableDigest &theirs) const
{
    return m_knowledge.compare(theirs);
}

void TableFollower::confirm(const TableDigest &theirs)
{
    if (m_knowledge.confirm(theirs)) {
        m_toldAt = Core::BootClock::now();
        noteVerified();
    }
}

void TableFollower::offer(RowPage page, std::uint64_t asked)
{
    const bool isWhole = asked == 0;
    if (page.isHistoryLost || page.revision < asked || (!isWhole && !m_knowledge.isRead())) {
        return;
    }
    m_toldAt = Core::BootClock::now();
    take({0, asked, m_toldAt, isWhole, false}, std::move(page));
}

// A question that waits for a change shows only at its end that the store does not hear it. In that time a change would be missed.
void TableFollower::askBeside()
{
    const Core::TimePoint now = m_loop.now();
    if (m_failures > 0 || !m_isHistoryKnown || now < m_besideDeadline) {
        return;
    }
    m_besideDeadline = now + m_times.answer;
    const Question question{0, m_knowledge.revision(), Core::BootClock::now(), false, false};
    const auto take = [this, question](Core::Result<RowPage> page) {
        receive(question, std::move(page));
    };
    m_source.awaitChanges(m_table, question.revision, now, now + m_times.slowAnswer, m_lifetime.guard(take));
}

// After a failure a short question shows sooner whether the store is back: a long one that it never got would hang while changes are untold.
void TableFollower::ask()
{
    const Core::TimePoint now = m_loop.now();
    const bool isWaiting = m_isHistoryKnown && m_failures == 0;
    const Core::TimePoint waitEnd = isWaiting ? now + m_times.longestWait : now;
    const Core::TimePoint deadline = isWaiting ? waitEnd + m_times.answer : now + m_times.slowAnswer;
    const Question question{++m_lastNumber, m_knowledge.revision(), Core::BootClock::now(), !m_isHistoryKnown, isWaiting};
    m_patience.startAt(waitEnd + m_times.answer);
    const auto take = [this, question](Core::Result<RowPage> page) {
        receive(question, std::move(page));
    };
    if (question.isWhole) {
        m_source.readTable(m_table, deadline, m_lifetime.guard(take));
    } else {
        m_source.awaitChanges(m_table, question.revision, waitEnd, deadline, m_lifetime.guard(take));
    }
}

bool TableFollower::isPresent(const Question &question) const
{
    return question.number == m_lastNumber && m_patience.isActive();
}

// A slow store answers when its question was given up already, and is right all the same.
void TableFollower::receive(const Question &question, Core::Result<RowPage> page)
{
    if (!page || page.value().isHistoryLost || page.value().revision < question.revision) {
        receiveFailure(question, page);
        return;
    }
    const bool isSecondHand = page.value().isSecondHand;
    take(question, std::move(page.value()));
    if (isPresent(question)) {
        noteAnswer(isSecondHand);
    } else if (!isSecondHand) {
        m_failures = 0;
        noteHeard();
    }
}

void TableFollower::receiveFailure(const Question &question, const Core::Result<RowPage> &page)
{
    if (!isPresent(question)) {
        return;
    }
    m_patience.stop();
    if (!page) {
        noteFailure(page.error());
    } else if (page.value().isHistoryLost) {
        noteHistoryLost();
    } else {
        refuse(question, page.value());
    }
}

// A whole table that others have overtaken meanwhile tells nothing new, but history goes on from there.
void TableFollower::take(const Question &question, RowPage page)
{
    const std::optional<StoreTime> before = m_knowledge.verifiedAt();
    if (question.isWhole) {
        takeTable(question, page);
    } else {
        takeChanges(question, page);
    }
    m_isHistoryKnown = true;
    const std::optional<StoreTime> verifiedAt = m_knowledge.verifiedAt();
    if (verifiedAt.has_value() && verifiedAt != before) {
        noteVerified();
    }
}

void TableFollower::noteVerified()
{
    m_consumer.tableVerified(m_table, *m_knowledge.verifiedAt(), m_knowledge.revision());
    if (m_isLost && isServedToOthers()) {
        noteHeard();
    }
}

void TableFollower::takeTable(const Question &question, RowPage &page)
{
    const std::uint64_t known = m_knowledge.revision();
    if (m_knowledge.takeTable(page, question.revision) == TableKnowledge::Verdict::Taken) {
        date(question, page, known);
        m_consumer.replaceRows(m_table, page);
    }
}

void TableFollower::takeChanges(const Question &question, RowPage &page)
{
    const std::uint64_t known = m_knowledge.revision();
    m_isHistoryDoubtful = false;
    m_knowledge.takeChanges(page, question.revision);
    date(question, page, known);
    if (!page.rows.empty()) {
        m_consumer.changeRows(m_table, page);
    }
}

// The store tells those who wait at once. So a change is older than the answer that tells it only by the time for which no question waited there: from the
// last answer, when it was given and not when it came, until the present question was sent, whoever sent it in this follower's place. One that does not
// wait may have been answered long after it was sent, with what was changed long before.
std::optional<StoreTime> TableFollower::changedAfter(const Question &question, const RowPage &page) const
{
    if (!m_saidAt.has_value() || !question.isWaiting) {
        return m_saidAt;
    }
    const Core::BootTime sentAt = page.clock.has_value() ? page.clock->askedAt : question.askedAt;
    const StoreTime sent = m_clock.latest(sentAt).value_or(*page.saidAt);
    const StoreTime::duration unwatched = std::max(StoreTime::duration(0), sent - *m_saidAt);
    return std::max(*m_saidAt, *page.saidAt - unwatched);
}

// Dates the rows beyond \a known and takes the clock of the page. Another process dates what it tells by itself, as well as it can.
void TableFollower::date(const Question &question, RowPage &page, std::uint64_t known)
{
    if (page.saidAt.has_value()) {
        const std::optional<StoreTime> committedAfter = changedAfter(question, page);
        for (TableRow &row : page.rows) {
            if (row.revision > known) {
                row.committedAfter = committedAfter;
            }
        }
        m_saidAt = std::max(m_saidAt, page.saidAt);
        page.clock = page.clock.value_or(StoreReading{*page.saidAt, question.askedAt});
    }
    if (page.clock.has_value()) {
        m_clock.note(*page.clock);
    }
}

// The whole table is read at once; but one that is read from the past ends where history is lost still, and is read again and again.
void TableFollower::noteHistoryLost()
{
    m_isHistoryKnown = false;
    const bool isAgain = std::exchange(m_isHistoryDoubtful, true);
    askAgainAt(isAgain ? m_loop.now() + nextRetry() : m_loop.now());
}

void TableFollower::refuse(const Question &question, const RowPage &page)
{
    RefusedAnswer refused{page.revision, question.revision, {}};
    if (page.saidAt.has_value()) {
        refused.saidAgo = m_clock.age(*page.saidAt, Core::BootClock::now());
    }
    m_consumer.answerRefused(m_table, refused);
    noteFailure({Core::ErrorCode::Conflict, "store.follow", m_table, "The store answers from the past."});
}

void TableFollower::askAgainAt(Core::TimePoint moment)
{
    m_timer.startAt(moment);
}

void TableFollower::noteFailure(const Core::Error &error)
{
    const Core::BootTime now = Core::BootClock::now();
    m_failedSince = m_failures == 0 ? now : m_failedSince;
    // Others, if any tell what they know, take a moment to tell that the store goes on answering them.
    const bool areOthersAsked = now - m_toldAt < m_times.bound && now - m_failedSince < m_times.sharedWait;
    if (!m_isLost && !areOthersAsked && !isServedToOthers()) {
        m_isLost = true;
        m_consumer.sourceLost(m_table, error);
    }
    askAgainAt(m_loop.now() + nextRetry());
}

// Others heard the store since it does not answer here, and told so: it turns only some away.
bool TableFollower::isServedToOthers() const
{
    const std::optional<milliseconds> known = age();
    return known.has_value() && *known < m_times.sharedAge && *known < Core::BootClock::now() - m_failedSince;
}

milliseconds TableFollower::nextRetry()
{
    const milliseconds wait = std::min(m_times.longestRetry, firstRetry * (1 << std::min(m_failures, mostDoublings)));
    ++m_failures;
    return wait;
}

void TableFollower::noteHeard()
{
    if (m_isLost) {
        m_isLost = false;
        m_consumer.sourceRegained(m_table);
    }
}

// What another process told is worth as much, but shows nothing of the store, which has to be asked as after a failure.
void TableFollower::noteAnswer(bool isSecondHand)
{
    m_patience.stop();
    noteHeard();
    if (isSecondHand) {
        askAgainAt(m_loop.now() + std::max(m_pause, nextRetry()));
        return;
    }
    m_failures = 0;
    askAgainAt(m_loop.now() + m_pause);
}

} // namespace Verbena::Store
