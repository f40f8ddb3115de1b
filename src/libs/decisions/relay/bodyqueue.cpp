#include "bodyqueue.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

using std::chrono::milliseconds;

// Part of its caller's time that a request may wait, and the longest wait of one that may be repeated; both leave some time until its caller gives up.
constexpr int waitNumerator = 3;
constexpr int waitDenominator = 10;
constexpr milliseconds longestRepeatableWait{900};

} // namespace

Core::TimePoint latestBodyStart(Core::TimePoint now, Core::TimePoint deadline, bool isRepeatable)
{
    const Core::Clock::duration wait = std::max(Core::Clock::duration::zero(), (deadline - now) * waitNumerator / waitDenominator);
    return now + (isRepeatable ? std::min<Core::Clock::duration>(wait, longestRepeatableWait) : wait);
}

BodyQueue::BodyQueue(const MemoryBudget &budget)
    : m_budget(budget)
{
}

bool BodyQueue::admits(const RequestDemand &demand) const
{
    if (demand.isBegun) {
        return m_budget.hasRoom(demand.bytes, demand.reserved) || m_budget.admitsBody(demand.bytes, demand.reserved);
    }
    return (m_waiting.empty() || MemoryBudget::isSmall(demand.bytes)) && m_budget.admitsBody(demand.bytes, demand.reserved);
}

bool BodyQueue::mayWait(const RequestDemand &demand, std::uint64_t waiting) const
{
    return !demand.isBegun && m_budget.canHold(demand.bytes) && m_budget.hasRoom(waiting, demand.reserved);
}

std::uint64_t BodyQueue::add(const RequestDemand &demand)
{
    m_waiting.push_back({++m_lastNumber, demand});
    return m_lastNumber;
}

void BodyQueue::remove(std::uint64_t number)
{
    m_waiting.remove_if([number](const WaitingRequest &request) { return request.number == number; });
}

std::optional<std::uint64_t> BodyQueue::next() const
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    const WaitingRequest &first = m_waiting.front();
    return m_budget.admitsBody(first.demand.bytes, first.demand.reserved) ? std::optional(first.number) : std::nullopt;
}

std::size_t BodyQueue::size() const
{
    return m_waiting.size();
}

} // namespace Verbena::Decisions
