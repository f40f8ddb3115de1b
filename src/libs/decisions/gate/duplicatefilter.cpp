#include "duplicatefilter.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::uint32_t lastBit = 63;

std::uint64_t attemptBit(std::uint32_t attempt)
{
    return std::uint64_t(1) << std::min(attempt, lastBit);
}

} // namespace

DuplicateFilter::DuplicateFilter(std::size_t capacity, std::chrono::milliseconds margin)
    : m_capacity(capacity)
    , m_margin(margin)
{
}

DuplicateFilter::Verdict DuplicateFilter::check(const GateRequest &request, Core::TimePoint now)
{
    removeExpired(now);
    const auto found = m_entries.find(request.ref.request);
    if (found == m_entries.end()) {
        return m_entries.size() < m_capacity ? Verdict::New : Verdict::CapacityReached;
    }
    const Entry &entry = found->second;
    const std::uint64_t bit = attemptBit(request.ref.attempt);
    if ((entry.startedAttempts & bit) != 0 || (!request.isIdempotent && entry.startedAttempts != 0)) {
        return Verdict::MayHaveRun;
    }
    if ((entry.queuedAttempts & bit) != 0) {
        return Verdict::Queued;
    }
    if ((entry.receivedAttempts & bit) != 0) {
        return Verdict::Refused;
    }
    return request.ref.attempt < entry.latestAttempt ? Verdict::Superseded : Verdict::New;
}

void DuplicateFilter::recordQueued(const GateRequest &request)
{
    Entry &entry = m_entries[request.ref.request];
    entry.latestAttempt = std::max(entry.latestAttempt, request.ref.attempt);
    entry.receivedAttempts |= attemptBit(request.ref.attempt);
    entry.queuedAttempts |= attemptBit(request.ref.attempt);
    const Core::TimePoint expiresAt = request.deadline + m_margin;
    if (expiresAt > entry.expiresAt) {
        entry.expiresAt = expiresAt;
        m_byExpiry.emplace(expiresAt, request.ref.request);
    }
}

void DuplicateFilter::recordStarted(const RequestRef &ref)
{
    const auto found = m_entries.find(ref.request);
    if (found != m_entries.end()) {
        found->second.startedAttempts |= attemptBit(ref.attempt);
        found->second.queuedAttempts &= ~attemptBit(ref.attempt);
    }
}

void DuplicateFilter::recordNotRun(const RequestRef &ref)
{
    const auto found = m_entries.find(ref.request);
    if (found != m_entries.end()) {
        found->second.queuedAttempts &= ~attemptBit(ref.attempt);
    }
}

std::size_t DuplicateFilter::size() const
{
    return m_entries.size();
}

void DuplicateFilter::removeExpired(Core::TimePoint now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        const auto found = m_entries.find(m_byExpiry.begin()->second);
        // A later attempt may have extended the expiry; the request then has another, later item in m_byExpiry.
        if (found != m_entries.end() && found->second.expiresAt <= now) {
            m_entries.erase(found);
        }
        m_byExpiry.erase(m_byExpiry.begin());
    }
}

} // namespace Verbena::Decisions
