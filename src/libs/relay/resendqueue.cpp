#include "resendqueue.h"

#include <eventloop/loop.h>

#include <algorithm>
#include <vector>

namespace Verbena::Relay {

namespace {

using std::chrono::milliseconds;

// Most services earn a resend within this time; if it takes longer, callers had better retry at another router.
constexpr milliseconds maximumWait{500};

// Callers give up a stream that pauses for longer than about two seconds.
constexpr milliseconds maximumStreamWait{1500};

// Interval at which the budget is checked; a small part of any latency target.
constexpr milliseconds checkInterval{20};

// At the rate at which a budget fills, no more can be granted within the maximum wait.
constexpr std::size_t maximumEntries = 8;

// Limits the memory of a router whose engines end many streams at once.
constexpr std::size_t maximumStreams = 256;

} // namespace

ResendQueue::ResendQueue(EventLoop::Loop &loop, Decisions::ResendBudget &budget, Core::TimePoint end)
    : m_loop(loop)
    , m_budget(budget)
    , m_end(end)
    , m_timer(loop, [this] { grantResends(); })
{
}

std::uint64_t ResendQueue::wait(const std::string &service, Decisions::ResendPurpose purpose, Core::TimePoint earliest, Callback done)
{
    const Core::TimePoint now = m_loop.now();
    const bool isStream = purpose == Decisions::ResendPurpose::BegunStream;
    if ((!isStream && now >= m_end) || m_entries.size() >= (isStream ? maximumStreams : maximumEntries)) {
        return 0;
    }
    const Core::TimePoint deadline = now + (isStream ? maximumStreamWait : maximumWait);
    m_entries.emplace(++m_lastNumber, Entry{service, purpose, std::move(done), earliest, std::max(earliest, deadline)});
    if (!m_timer.isActive()) {
        m_timer.startAt(now + checkInterval);
    }
    return m_lastNumber;
}

void ResendQueue::withdraw(std::uint64_t number)
{
    m_entries.erase(number);
}

// A callback may remove other entries or add new ones, so each entry is looked up again.
void ResendQueue::grantResends()
{
    const Core::TimePoint now = m_loop.now();
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, entry] : m_entries) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        const auto found = m_entries.find(number);
        if (found == m_entries.end() || now < found->second.earliest) {
            continue;
        }
        const bool isGranted = m_budget.tryConsume(found->second.service, found->second.purpose, now);
        if (isGranted || now >= found->second.deadline) {
            const Callback done = std::move(found->second.done);
            m_entries.erase(found);
            done(isGranted);
        }
    }
    if (!m_entries.empty()) {
        m_timer.startAt(now + checkInterval);
    }
}

} // namespace Verbena::Relay
