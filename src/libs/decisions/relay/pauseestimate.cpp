#include "pauseestimate.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::microseconds;

namespace {

// Some seconds of one router's streams, in which the load hardly changes.
constexpr std::size_t sampleWindow = 64;

// With fewer samples one late stream would change the fraction by more than an eighth.
constexpr std::size_t minimumSamples = 8;

} // namespace

void PauseEstimate::addSample(microseconds longest, double slowness)
{
    const double scaled = static_cast<double>(longest.count()) / slowness;
    if (m_latest.size() < sampleWindow) {
        m_latest.push_back(scaled);
        return;
    }
    m_latest[m_next] = scaled;
    m_next = (m_next + 1) % sampleWindow;
}

double PauseEstimate::lateFraction(double slowness, microseconds target) const
{
    if (m_latest.size() < minimumSamples) {
        return 0;
    }
    const double scaledTarget = static_cast<double>(target.count()) / slowness;
    const auto late = std::count_if(m_latest.begin(), m_latest.end(), [scaledTarget](double pause) { return pause > scaledTarget; });
    return static_cast<double>(late) / static_cast<double>(m_latest.size());
}

} // namespace Verbena::Decisions
