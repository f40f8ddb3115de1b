#include "lease.h"

#include <algorithm>
#include <charconv>

namespace Verbena::Decisions {

namespace {

using std::chrono::milliseconds;

Core::Error unreadable()
{
    return {Core::ErrorCode::InvalidArgument, "leases.decode", "", "The row does not hold a lease."};
}

} // namespace

std::string LeaseRecord::encode() const
{
    const auto expiryCount = std::chrono::duration_cast<milliseconds>(expiry.time_since_epoch()).count();
    return std::to_string(fencingNumber) + ' ' + std::to_string(expiryCount) + ' ' + token;
}

Core::Result<LeaseRecord> LeaseRecord::decode(const std::string &text)
{
    LeaseRecord record;
    std::int64_t expiryCount = 0;
    const char *end = text.data() + text.size();
    const auto number = std::from_chars(text.data(), end, record.fencingNumber);
    if (number.ec != std::errc() || number.ptr == end) {
        return unreadable();
    }
    const auto expiry = std::from_chars(number.ptr + 1, end, expiryCount);
    if (expiry.ec != std::errc() || expiry.ptr == end) {
        return unreadable();
    }
    record.expiry = Core::WallTime(milliseconds(expiryCount));
    record.token.assign(expiry.ptr + 1, end);
    return record;
}

Lease::Lease(const LeaseOptions &options, std::vector<std::string> rows, std::string owner, std::uint64_t seed)
    : m_options(options)
    , m_rows(std::move(rows))
    , m_owner(std::move(owner))
    , m_random(seed)
    , m_backoff({.first = milliseconds(100), .longest = options.span / 4}, m_random.next())
    , m_seen(m_rows.size())
{
}

void Lease::setWanted(bool isWanted)
{
    if (isWanted != m_isWanted) {
        m_isWanted = isWanted;
        m_nextAction = {};
    }
}

std::optional<LeaseAction> Lease::advance(const ClockReading &reading)
{
    if (m_isUnderWay || reading.now < m_nextAction || reading.now < m_backoff.notBefore()) {
        return std::nullopt;
    }
    if (m_held && reading.now >= m_held->heldUntil) {
        lose();
    }
    // What became of a write has to be known before anything else is written.
    if (m_sent) {
        return read(reading.now);
    }
    if (m_held) {
        return m_isWanted ? renew(reading) : giveBack(reading.now);
    }
    if (!m_isWanted) {
        return std::nullopt;
    }
    if (!std::exchange(m_isFresh, false)) {
        return read(reading.now);
    }
    const auto row = drawLapsedRow(reading.wall);
    if (row) {
        return take(*row, reading);
    }
    retryLater(reading.now);
    return std::nullopt;
}

void Lease::handleRows(const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading)
{
    m_isUnderWay = false;
    if (!rows) {
        m_backoff.noteFailure(reading.now);
        return;
    }
    m_backoff.noteSuccess();
    std::fill(m_seen.begin(), m_seen.end(), Seen());
    for (const Store::TableRow &row : rows.value()) {
        see(row);
    }
    m_isFresh = true;
    if (m_held && m_seen[m_held->row].record.token != m_held->record.token) {
        lose();
    }
    if (m_sent) {
        const Sent sent = *std::exchange(m_sent, std::nullopt);
        const Seen &seen = m_seen[sent.row];
        // The expiry tells a write from earlier ones of the same tenure.
        if (seen.record.token == sent.record.token && seen.record.expiry == sent.record.expiry && sent.purpose != Purpose::GiveBack) {
            confirm(sent, seen.revision);
        }
    }
}

void Lease::handleCommit(const Store::CommitAnswer &answer, const ClockReading &reading)
{
    m_isUnderWay = false;
    switch (answer.outcome) {
    case Store::CommitOutcome::Committed:
        m_backoff.noteSuccess();
        confirm(*std::exchange(m_sent, std::nullopt), answer.revision);
        return;
    case Store::CommitOutcome::Conflict:
        // The next read tells whether an earlier write of ours or somebody else's stands in the way.
        m_backoff.noteSuccess();
        m_isFresh = false;
        m_nextAction = {};
        return;
    case Store::CommitOutcome::Unknown:
        m_backoff.noteFailure(reading.now);
        m_nextAction = {};
        return;
    case Store::CommitOutcome::NotSent:
        m_backoff.noteFailure(reading.now);
        m_sent.reset();
        m_isFresh = false;
        m_nextAction = {};
        return;
    }
}

bool Lease::isHeld(Core::TimePoint now) const
{
    return m_held && now < m_held->heldUntil;
}

Core::TimePoint Lease::heldUntil() const
{
    return m_held ? m_held->heldUntil : Core::TimePoint();
}

std::uint64_t Lease::fencingNumber() const
{
    return m_held ? m_held->record.fencingNumber : 0;
}

const std::string &Lease::row() const
{
    return m_rows[m_held ? m_held->row : 0];
}

std::optional<Core::TimePoint> Lease::nextDeadline() const
{
    if (m_isUnderWay || (!m_isWanted && !m_held && !m_sent)) {
        return std::nullopt;
    }
    return std::max(m_nextAction, m_backoff.notBefore());
}

bool Lease::isLapsed(const LeaseRecord &record, Core::WallTime wall) const
{
    return record.token.empty() || record.expiry + m_options.clockSkew <= wall;
}

LeaseAction Lease::read(Core::TimePoint now)
{
    m_isUnderWay = true;
    return LeaseRead{m_rows, now + m_options.operationTimeout};
}

LeaseAction Lease::send(Sent sent, Core::TimePoint now)
{
    const LeaseWrite write{{m_rows[sent.row], sent.record.encode(), m_seen[sent.row].revision}, now + m_options.operationTimeout};
    m_sent = std::move(sent);
    m_isUnderWay = true;
    return write;
}

LeaseAction Lease::take(std::size_t row, const ClockReading &reading)
{
    LeaseRecord record;
    record.fencingNumber = nextFencingNumber();
    record.expiry = std::chrono::floor<milliseconds>(reading.wall + m_options.span);
    record.token = m_owner + "." + std::to_string(m_random.next());
    return send({row, Purpose::Take, record, reading.now + m_options.span}, reading.now);
}

// No number is above the revision of its own commit, so the next one after any of the revisions is above all numbers given
// so far, also if somebody deleted a row.
std::uint64_t Lease::nextFencingNumber() const
{
    std::uint64_t highest = 0;
    for (const Seen &seen : m_seen) {
        highest = std::max({highest, seen.revision, seen.record.fencingNumber});
    }
    return highest + 1;
}

LeaseAction Lease::renew(const ClockReading &reading)
{
    LeaseRecord record = m_held->record;
    // It differs from that of every earlier write of the tenure, so that a read tells them apart.
    record.expiry = std::max<Core::WallTime>(record.expiry + milliseconds(1), std::chrono::floor<milliseconds>(reading.wall + m_options.span));
    return send({m_held->row, Purpose::Renew, record, reading.now + m_options.span}, reading.now);
}

LeaseAction Lease::giveBack(Core::TimePoint now)
{
    LeaseRecord record;
    record.fencingNumber = m_held->record.fencingNumber;
    const Sent sent{m_held->row, Purpose::GiveBack, record, {}};
    // From here on nothing may be done under the lease, whatever becomes of the write.
    m_held.reset();
    return send(sent, now);
}

void Lease::see(const Store::TableRow &row)
{
    const auto index = std::find(m_rows.begin(), m_rows.end(), row.key) - m_rows.begin();
    if (static_cast<std::size_t>(index) == m_rows.size()) {
        return;
    }
    const auto record = LeaseRecord::decode(row.value);
    m_seen[index] = {row.revision, record ? record.value() : LeaseRecord()};
}

void Lease::confirm(const Sent &sent, std::uint64_t revision)
{
    m_seen[sent.row] = {revision, sent.record};
    if (sent.purpose == Purpose::GiveBack) {
        return;
    }
    m_held = sent;
    m_looks = 0;
    const Core::TimePoint sentAt = sent.heldUntil - m_options.span;
    m_nextAction = sentAt + m_options.renewalInterval;
}

void Lease::lose()
{
    m_held.reset();
    m_isFresh = false;
    m_nextAction = {};
}

std::optional<std::size_t> Lease::drawLapsedRow(Core::WallTime wall)
{
    const std::size_t count = m_rows.size();
    std::vector<std::size_t> lapsed;
    for (std::size_t i = 0; i < count; ++i) {
        if (isLapsed(m_seen[i].record, wall)) {
            lapsed.push_back(i);
        }
    }
    if (lapsed.empty()) {
        return std::nullopt;
    }
    // Waiters that went for the same row would get in each other's way.
    return lapsed[m_random.next() % lapsed.size()];
}

void Lease::retryLater(Core::TimePoint now)
{
    // Thousands may wait for few permits; the longer they have waited, the less often each of them looks.
    milliseconds bound = m_options.retryInterval;
    for (std::uint32_t i = 0; i < m_looks && bound < m_options.longestRetryInterval; ++i) {
        bound *= 2;
    }
    ++m_looks;
    const std::chrono::duration<double, std::milli> span = std::min(bound, m_options.longestRetryInterval) * (0.5 + m_random.uniform());
    m_nextAction = now + std::chrono::duration_cast<Core::Clock::duration>(span);
}

} // namespace Verbena::Decisions
