#include "admission.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// New samples weigh an eighth: a second of requests at a busy router.
constexpr int smoothing = 8;

// With fewer before it, the span says more of the prompt than of the queue.
constexpr std::uint32_t leastWaiting = 3;

// Reading one prompt takes between these on all engines that are known.
constexpr microseconds leastPerWaiting{5'000};
constexpr microseconds mostPerWaiting{120'000};

// What was learned is forgotten when no request has shown it for so long: whoever turns all away learns nothing any more.
constexpr milliseconds memory{1000};
constexpr microseconds unlearned{25'000};

// Of the target, that a request may wait before it is begun; the rest is for reading and the way.
constexpr double waitingPart = 0.5;

// Of when callers are told to come back. Sooner they would find the same queue, later they would have left.
constexpr milliseconds soonest{150};
constexpr milliseconds latest{1500};

// Callers come back after a third of their time at most.
constexpr int partsOfPatience = 3;

microseconds smoothed(microseconds before, microseconds sample)
{
    return before + (sample - before) / smoothing;
}

} // namespace

void WaitEstimate::note(std::uint32_t waiting, microseconds span, Core::TimePoint now)
{
    if (waiting == 0) {
        m_unloaded = smoothed(m_unloaded, span);
    } else if (waiting >= leastWaiting) {
        const microseconds sample = std::max(microseconds(0), span - m_unloaded) / waiting;
        m_perWaiting = std::clamp(smoothed(perWaiting(now), sample), leastPerWaiting, mostPerWaiting);
        m_notedAt = now;
    }
}

microseconds WaitEstimate::perWaiting(Core::TimePoint now) const
{
    return now < m_notedAt + memory ? m_perWaiting : std::min(m_perWaiting, unlearned);
}

microseconds WaitEstimate::expected(std::uint32_t waiting, Core::TimePoint now) const
{
    return waiting * perWaiting(now);
}

microseconds bearableWait(microseconds target)
{
    return target.count() == 0 ? microseconds::max() : duration_cast<microseconds>(waitingPart * target);
}

std::optional<milliseconds> refuseUntil(const AdmissionQuery &query)
{
    if (query.wait <= bearableWait(query.target)) {
        return std::nullopt;
    }
    const auto over = duration_cast<milliseconds>(query.wait);
    const auto most = std::min(latest, duration_cast<milliseconds>(query.patience / partsOfPatience));
    return std::max(soonest, std::min(over, most));
}

} // namespace Verbena::Decisions
