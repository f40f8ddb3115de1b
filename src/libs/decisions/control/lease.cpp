#include "lease.h"

#include "latestexpiry.h"

#include <algorithm>
#include <charconv>

namespace Verbena::Decisions {

namespace {

using std::chrono::milliseconds;

constexpr char separator = ' ';

Core::Error invalidRowError()
{
    return {Core::ErrorCode::InvalidArgument, "leases.decode", "", "The row does not hold a lease."};
}

} // namespace

std::string LeaseRecord::encode() const
{
    const auto expiryCount = std::chrono::duration_cast<milliseconds>(expiry.time_since_epoch()).count();
    return std::to_string(fencingNumber) + separator + std::to_string(expiryCount) + separator + token;
}

Core::Result<LeaseRecord> LeaseRecord::decode(const std::string &text)
{
    LeaseRecord record;
    std::int64_t expiryCount = 0;
    const char *end = text.data() + text.size();
    const auto number = std::from_chars(text.data(), end, record.fencingNumber);
    if (number.ec != std::errc() || number.ptr == end || *number.ptr != separator) {
        return invalidRowError();
    }
    const auto expiry = std::from_chars(number.ptr + 1, end, expiryCount);
    if (expiry.ec != std::errc() || expiry.ptr == end || *expiry.ptr != separator || expiryCount < 0 || milliseconds(expiryCount) > latestExpiry) {
        return invalidRowError();
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
    , m_backoff({.initialDelay = milliseconds(100), .maximumDelay = options.duration / 4}, m_random.next())
    , m_rowStates(m_rows.size())
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
    if (m_isOperationPending || reading.now < m_nextAction || reading.now < m_backoff.notBefore()) {
        return std::nullopt;
    }
    if (m_held && reading.now >= m_held->heldUntil) {
        markLost();
    }
    // The outcome of the last write must be known before anything else is written.
    if (m_pendingWrite) {
        return read(reading.now);
    }
    if (m_held) {
        return m_isWanted ? renew(reading) : release(reading.now);
    }
    if (!m_isWanted) {
        return std::nullopt;
    }
    if (!std::exchange(m_areRowsFresh, false)) {
        return read(reading.now);
    }
    const auto row = randomLapsedRow(reading.wall);
    if (row) {
        return acquire(*row, reading);
    }
    retryLater(reading.now);
    return std::nullopt;
}

void Lease::handleRows(const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading)
{
    m_isOperationPending = false;
    if (!rows) {
        m_backoff.recordFailure(reading.now);
        return;
    }
    m_backoff.recordSuccess();
    std::fill(m_rowStates.begin(), m_rowStates.end(), RowState());
    for (const Store::TableRow &row : rows.value()) {
        applyRow(row);
    }
    m_areRowsFresh = true;
    if (m_held && m_rowStates[m_held->row].record.token != m_held->record.token) {
        markLost();
    }
    if (m_pendingWrite) {
        const SentWrite sent = *std::exchange(m_pendingWrite, std::nullopt);
        const RowState &state = m_rowStates[sent.row];
        // The expiry distinguishes this write from earlier ones of the same tenure.
        if (state.record.token == sent.record.token && state.record.expiry == sent.record.expiry && sent.operation != Operation::Release) {
            confirm(sent, state.revision);
        }
    }
}

void Lease::handleCommit(const Store::CommitAnswer &answer, const ClockReading &reading)
{
    m_isOperationPending = false;
    switch (answer.outcome) {
    case Store::CommitOutcome::Committed:
        m_backoff.recordSuccess();
        confirm(*std::exchange(m_pendingWrite, std::nullopt), answer.revision);
        return;
    case Store::CommitOutcome::Conflict:
        // The next read shows whether an earlier write of this process or one of another process caused the conflict.
        m_backoff.recordSuccess();
        m_areRowsFresh = false;
        m_nextAction = {};
        return;
    case Store::CommitOutcome::Unknown:
        m_backoff.recordFailure(reading.now);
        m_nextAction = {};
        return;
    case Store::CommitOutcome::NotSent:
        m_backoff.recordFailure(reading.now);
        m_pendingWrite.reset();
        m_areRowsFresh = false;
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
    if (m_isOperationPending || (!m_isWanted && !m_held && !m_pendingWrite)) {
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
    m_isOperationPending = true;
    return LeaseRead{m_rows, now + m_options.operationTimeout};
}

LeaseAction Lease::send(SentWrite sent, Core::TimePoint now)
{
    const LeaseWrite write{{m_rows[sent.row], sent.record.encode(), m_rowStates[sent.row].revision}, now + m_options.operationTimeout};
    m_pendingWrite = std::move(sent);
    m_isOperationPending = true;
    return write;
}

LeaseAction Lease::acquire(std::size_t row, const ClockReading &reading)
{
    LeaseRecord record;
    record.fencingNumber = nextFencingNumber();
    record.expiry = std::chrono::floor<milliseconds>(reading.wall + m_options.duration);
    record.token = m_owner + "." + std::to_string(m_random.next());
    return send({row, Operation::Acquire, record, reading.now + m_options.duration}, reading.now);
}

// No fencing number exceeds the revision of its own commit. A number above all revisions is therefore above all numbers assigned so
// far, even if a row was deleted.
std::uint64_t Lease::nextFencingNumber() const
{
    std::uint64_t highest = 0;
    for (const RowState &state : m_rowStates) {
        highest = std::max({highest, state.revision, state.record.fencingNumber});
    }
    return highest + 1;
}

LeaseAction Lease::renew(const ClockReading &reading)
{
    LeaseRecord record = m_held->record;
    // The expiry differs from that of every earlier write of the tenure, so that a read can distinguish them.
    record.expiry = std::max<Core::WallTime>(record.expiry + milliseconds(1), std::chrono::floor<milliseconds>(reading.wall + m_options.duration));
    return send({m_held->row, Operation::Renew, record, reading.now + m_options.duration}, reading.now);
}

LeaseAction Lease::release(Core::TimePoint now)
{
    LeaseRecord record;
    record.fencingNumber = m_held->record.fencingNumber;
    const SentWrite sent{m_held->row, Operation::Release, record, {}};
    // From here on the lease must not be used, whatever the outcome of the write.
    m_held.reset();
    return send(sent, now);
}

void Lease::applyRow(const Store::TableRow &row)
{
    const auto index = std::find(m_rows.begin(), m_rows.end(), row.key) - m_rows.begin();
    if (static_cast<std::size_t>(index) == m_rows.size()) {
        return;
    }
    const auto record = LeaseRecord::decode(row.value);
    m_rowStates[index] = {row.revision, record ? record.value() : LeaseRecord()};
}

void Lease::confirm(const SentWrite &sent, std::uint64_t revision)
{
    m_rowStates[sent.row] = {revision, sent.record};
    if (sent.operation == Operation::Release) {
        return;
    }
    m_held = sent;
    m_unsuccessfulReads = 0;
    const Core::TimePoint sentAt = sent.heldUntil - m_options.duration;
    m_nextAction = sentAt + m_options.renewalInterval;
}

void Lease::markLost()
{
    m_held.reset();
    m_areRowsFresh = false;
    m_nextAction = {};
}

std::optional<std::size_t> Lease::randomLapsedRow(Core::WallTime wall)
{
    const std::size_t count = m_rows.size();
    std::vector<std::size_t> lapsed;
    for (std::size_t i = 0; i < count; ++i) {
        if (isLapsed(m_rowStates[i].record, wall)) {
            lapsed.push_back(i);
        }
    }
    if (lapsed.empty()) {
        return std::nullopt;
    }
    // A random row reduces conflicts between processes that wait for the same rows.
    return lapsed[m_random.next() % lapsed.size()];
}

void Lease::retryLater(Core::TimePoint now)
{
    // Thousands of processes may wait for a few permits, so each of them reads less often the longer it has waited.
    milliseconds bound = m_options.retryInterval;
    for (std::uint32_t i = 0; i < m_unsuccessfulReads && bound < m_options.maximumRetryInterval; ++i) {
        bound *= 2;
    }
    ++m_unsuccessfulReads;
    const std::chrono::duration<double, std::milli> delay = std::min(bound, m_options.maximumRetryInterval) * (0.5 + m_random.uniform());
    m_nextAction = now + std::chrono::duration_cast<Core::Clock::duration>(delay);
}

} // namespace Verbena::Decisions
