#include "tablefollower.h"

#include <eventloop/loop.h>

#include <algorithm>
#include <utility>

namespace Verbena::Store {

using std::chrono::milliseconds;

namespace {

// A change may be in force a little later than the silence of a dead connection lasts, so each question waits for less than that.
constexpr milliseconds waitTime{3000};

// An answer that is later than this has been lost: several times what a slow store takes.
constexpr milliseconds answerTime{700};

// Of the first question after a failure; doubles with each further one, so that a store that comes back is not overrun.
constexpr milliseconds firstRetry{60};
constexpr milliseconds longestRetry{500};
constexpr std::uint32_t mostDoublings = 4;

} // namespace

TableFollower::TableFollower(EventLoop::Loop &loop, RowSource &source, std::string table, milliseconds pause, RowConsumer &consumer)
    : m_loop(loop)
    , m_source(source)
    , m_table(std::move(table))
    , m_pause(pause)
    , m_consumer(consumer)
    , m_timer(loop, [this] { ask(); })
{
    askAgainAt(loop.now());
}

TableFollower::~TableFollower() = default;

void TableFollower::setPause(milliseconds pause)
{
    m_pause = pause;
}

std::uint64_t TableFollower::revision() const
{
    return m_revision;
}

std::optional<milliseconds> TableFollower::age() const
{
    return m_currentAt.has_value() ? m_clock.age(*m_currentAt, Core::BootClock::now()) : std::nullopt;
}

void TableFollower::ask()
{
    const Core::TimePoint now = m_loop.now();
    const Core::BootTime askedAt = Core::BootClock::now();
    if (!m_isTableKnown) {
        const auto take = [this, askedAt](Core::Result<RowPage> page) {
            takeTable(std::move(page), askedAt);
        };
        m_source.readTable(m_table, now + answerTime, m_lifetime.guard(take));
        return;
    }
    // After a failure a short question shows sooner whether the store is back. A long one that the store never got would hang for 3.7 s, with a change
    // that was made meanwhile untold.
    const Core::TimePoint waitEnd = m_failures > 0 ? now : now + waitTime;
    const auto take = [this, askedAt](Core::Result<RowPage> page) {
        takeChanges(std::move(page), askedAt);
    };
    m_source.awaitChanges(m_table, m_revision, waitEnd, waitEnd + answerTime, m_lifetime.guard(take));
}

void TableFollower::takeTable(Core::Result<RowPage> page, Core::BootTime askedAt)
{
    if (!isBelieved(page)) {
        return;
    }
    m_isTableKnown = true;
    noteSaid(page.value(), m_saidAt, askedAt);
    m_consumer.replaceRows(m_table, page.value());
    noteCurrent(page.value());
    noteAnswer(page.value());
}

void TableFollower::takeChanges(Core::Result<RowPage> page, Core::BootTime askedAt)
{
    if (page && page.value().isHistoryLost) {
        m_isTableKnown = false;
        askAgainAt(m_loop.now());
        return;
    }
    if (!isBelieved(page)) {
        return;
    }
    noteSaid(page.value(), changedAfter(page.value(), askedAt), askedAt);
    if (!page.value().rows.empty()) {
        m_consumer.changeRows(m_table, page.value());
    }
    noteCurrent(page.value());
    noteAnswer(page.value());
}

// The store tells those who wait at once. So a change is older than the answer that tells it only by the time for which no question waited there: from the
// last answer, when it was given and not when it came, until the present question was sent, whoever sent it in this follower's place.
std::optional<StoreTime> TableFollower::changedAfter(const RowPage &page, Core::BootTime askedAt) const
{
    if (!m_saidAt.has_value() || !page.saidAt.has_value()) {
        return std::nullopt;
    }
    const Core::BootTime sentAt = page.clock.has_value() ? page.clock->askedAt : askedAt;
    const StoreTime sent = m_clock.latest(sentAt).value_or(*page.saidAt);
    const StoreTime::duration unwatched = std::max(StoreTime::duration(0), sent - *m_saidAt);
    return std::max(*m_saidAt, *page.saidAt - unwatched);
}

// Takes the revision and the clock of the page and dates its new rows. Another process dates what it tells by itself, as well as it can.
void TableFollower::noteSaid(RowPage &page, std::optional<StoreTime> committedAfter, Core::BootTime askedAt)
{
    const std::uint64_t before = std::exchange(m_revision, page.revision);
    if (page.saidAt.has_value()) {
        for (TableRow &row : page.rows) {
            if (row.revision > before) {
                row.committedAfter = committedAfter;
            }
        }
        if (!page.clock.has_value()) {
            page.clock = StoreReading{*page.saidAt, askedAt};
        }
        m_saidAt = page.saidAt;
    }
    if (page.clock.has_value()) {
        m_clock.note(*page.clock);
    }
}

void TableFollower::noteCurrent(const RowPage &page)
{
    const std::optional<StoreTime> currentAt = page.saidAt.has_value() ? page.saidAt : page.currentAt;
    if (currentAt.has_value() && (!m_currentAt.has_value() || *currentAt > *m_currentAt)) {
        m_currentAt = currentAt;
        m_consumer.tableCurrent(m_table, *currentAt);
    }
}

void TableFollower::refuse(const RowPage &page)
{
    RefusedAnswer refused{page.revision, m_revision, {}};
    if (page.saidAt.has_value()) {
        refused.saidAgo = m_clock.age(*page.saidAt, Core::BootClock::now());
    }
    m_consumer.answerRefused(m_table, refused);
    noteFailure({Core::ErrorCode::Conflict, "store.follow", m_table, "The store answers from the past."});
}

bool TableFollower::isBelieved(const Core::Result<RowPage> &page)
{
    if (!page) {
        noteFailure(page.error());
        return false;
    }
    if (page.value().revision < m_revision) {
        refuse(page.value());
        return false;
    }
    return true;
}

void TableFollower::askAgainAt(Core::TimePoint moment)
{
    m_timer.startAt(moment);
}

void TableFollower::noteFailure(const Core::Error &error)
{
    if (!m_isLost) {
        m_isLost = true;
        m_consumer.sourceLost(m_table, error);
    }
    askAgainAt(m_loop.now() + nextRetry());
}

milliseconds TableFollower::nextRetry()
{
    const milliseconds wait = std::min(longestRetry, firstRetry * (1 << std::min(m_failures, mostDoublings)));
    ++m_failures;
    return wait;
}

// What another process told is worth as much, but shows nothing of the store, which has to be asked as after a failure.
void TableFollower::noteAnswer(const RowPage &page)
{
    if (m_isLost) {
        m_isLost = false;
        m_consumer.sourceRegained(m_table);
    }
    if (page.isSecondHand) {
        askAgainAt(m_loop.now() + std::max(m_pause, nextRetry()));
        return;
    }
    m_failures = 0;
    askAgainAt(m_loop.now() + m_pause);
}

} // namespace Verbena::Store
