#include "duplicatefilter.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::uint32_t lastBit = 63;

std::uint64_t bitOf(std::uint32_t attempt)
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
    expire(now);
    const auto found = m_seen.find(request.ref.request);
    if (found == m_seen.end()) {
        return m_seen.size() < m_capacity ? Verdict::New : Verdict::NoRoom;
    }
    const Seen &seen = found->second;
    const std::uint64_t bit = bitOf(request.ref.attempt);
    if ((seen.startedAttempts & bit) != 0 || (!request.isIdempotent && seen.startedAttempts != 0)) {
        return Verdict::MayHaveRun;
    }
    if ((seen.queuedAttempts & bit) != 0) {
        return Verdict::Queued;
    }
    if ((seen.seenAttempts & bit) != 0) {
        return Verdict::Refused;
    }
    return request.ref.attempt < seen.latestAttempt ? Verdict::Superseded : Verdict::New;
}

void DuplicateFilter::noteQueued(const GateRequest &request)
{
    Seen &seen = m_seen[request.ref.request];
    seen.latestAttempt = std::max(seen.latestAttempt, request.ref.attempt);
    seen.seenAttempts |= bitOf(request.ref.attempt);
    seen.queuedAttempts |= bitOf(request.ref.attempt);
    const Core::TimePoint keptUntil = request.deadline + m_margin;
    if (keptUntil > seen.keptUntil) {
        seen.keptUntil = keptUntil;
        m_byTime.emplace(keptUntil, request.ref.request);
    }
}

void DuplicateFilter::noteStarted(const RequestRef &ref)
{
    const auto found = m_seen.find(ref.request);
    if (found != m_seen.end()) {
        found->second.startedAttempts |= bitOf(ref.attempt);
        found->second.queuedAttempts &= ~bitOf(ref.attempt);
    }
}

void DuplicateFilter::noteNotRun(const RequestRef &ref)
{
    const auto found = m_seen.find(ref.request);
    if (found != m_seen.end()) {
        found->second.queuedAttempts &= ~bitOf(ref.attempt);
    }
}

std::size_t DuplicateFilter::size() const
{
    return m_seen.size();
}

void DuplicateFilter::expire(Core::TimePoint now)
{
    while (!m_byTime.empty() && m_byTime.begin()->first <= now) {
        const auto found = m_seen.find(m_byTime.begin()->second);
        // An attempt that came later may have moved the time on; then a later row stands for the request.
        if (found != m_seen.end() && found->second.keptUntil <= now) {
            m_seen.erase(found);
        }
        m_byTime.erase(m_byTime.begin());
    }
}

} // namespace Verbena::Decisions
