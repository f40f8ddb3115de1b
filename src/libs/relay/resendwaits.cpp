#include "resendwaits.h"

#include <eventloop/loop.h>

#include <vector>

namespace Verbena::Relay {

namespace {

using std::chrono::milliseconds;

// Within it most services earn a resend; longer, and callers are better off to ask another router.
constexpr milliseconds patience{500};

// A small part of any latency target.
constexpr milliseconds lookPeriod{20};

// More cannot be granted within their patience at the pace at which a budget fills.
constexpr std::size_t mostWaiting = 8;

} // namespace

ResendWaits::ResendWaits(EventLoop::Loop &loop, Decisions::ResendBudget &budget, Core::TimePoint end)
    : m_loop(loop)
    , m_budget(budget)
    , m_end(end)
    , m_timer(loop, [this] { look(); })
{
}

std::uint64_t ResendWaits::wait(const std::string &service, Decisions::ResendPurpose purpose, Callback done)
{
    const Core::TimePoint now = m_loop.now();
    if (now >= m_end || m_waiting.size() >= mostWaiting) {
        return 0;
    }
    m_waiting.emplace(++m_lastNumber, Waiting{service, purpose, std::move(done), now + patience});
    if (!m_timer.isActive()) {
        m_timer.startAt(now + lookPeriod);
    }
    return m_lastNumber;
}

void ResendWaits::withdraw(std::uint64_t number)
{
    m_waiting.erase(number);
}

// A request that is told may end others, or begin to wait anew; so each one is looked up again.
void ResendWaits::look()
{
    const Core::TimePoint now = m_loop.now();
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, waiting] : m_waiting) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        const auto found = m_waiting.find(number);
        if (found == m_waiting.end()) {
            continue;
        }
        const bool isGranted = m_budget.tryConsume(found->second.service, found->second.purpose, now);
        if (isGranted || now >= found->second.deadline) {
            const Callback done = std::move(found->second.done);
            m_waiting.erase(found);
            done(isGranted);
        }
    }
    if (!m_waiting.empty()) {
        m_timer.startAt(now + lookPeriod);
    }
}

} // namespace Verbena::Relay
