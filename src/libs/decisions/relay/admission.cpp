#include "admission.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// New samples of an engine where nothing waits weigh an eighth: a second of requests at a busy router.
constexpr int smoothing = 8;

// A longer stall shows an engine that stands still, not the length of its queue.
constexpr microseconds mostPerWaiting{120'000};

// Within this time what was learned fades to a third of its weight: whoever turns all away learns nothing any more.
constexpr milliseconds memory{1000};

// Assumed at first, as if a second's queue of a few requests at a busy engine had shown it.
constexpr microseconds unlearned{25'000};
constexpr double unlearnedWeight = 20;

// Of the target, that waiting and reading may take; the rest is for the way and for what is not foreseen. A bound on the waiting alone would turn away short
// prompts that would be in time, and let in long ones that are not.
constexpr double usedPart = 0.9;

// A prompt that takes most of its target by itself may still wait so long; else one slow second would turn all of its kind away.
constexpr double leastWaitingPart = 0.25;

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
        return;
    }
    const double kept = keptPart(now);
    const microseconds excess = std::clamp(span - m_unloaded, microseconds(0), waiting * mostPerWaiting);
    m_excess = kept * m_excess + static_cast<double>(excess.count());
    m_waiting = kept * m_waiting + waiting;
    m_notedAt = now;
}

double WaitEstimate::keptPart(Core::TimePoint now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_notedAt) / std::chrono::duration<double>(memory));
}

// All time that was waited by all that waited. The mean of single quotients would be ruled by the few that stall behind a short queue, and would expect
// several times what most of them wait.
microseconds WaitEstimate::perWaiting(Core::TimePoint now) const
{
    const double kept = keptPart(now);
    const double excess = kept * m_excess + unlearnedWeight * static_cast<double>(unlearned.count());
    return microseconds(static_cast<std::int64_t>(excess / (kept * m_waiting + unlearnedWeight)));
}

microseconds WaitEstimate::expected(std::uint32_t waiting, Core::TimePoint now) const
{
    return waiting * perWaiting(now);
}

microseconds WaitEstimate::bearable(microseconds target) const
{
    if (target.count() == 0) {
        return microseconds::max();
    }
    return std::max(duration_cast<microseconds>(leastWaitingPart * target), duration_cast<microseconds>(usedPart * target) - m_unloaded);
}

std::optional<milliseconds> refuseUntil(const AdmissionQuery &query)
{
    if (query.wait <= std::min(query.bearableWait, query.patience)) {
        return std::nullopt;
    }
    return comeBackWithin(duration_cast<milliseconds>(query.wait), query.patience);
}

milliseconds comeBackWithin(milliseconds wait, microseconds patience)
{
    const auto most = std::min(latest, duration_cast<milliseconds>(patience / partsOfPatience));
    return std::max(soonest, std::min(wait, most));
}

} // namespace Verbena::Decisions
