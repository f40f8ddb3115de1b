#include "loadshedder.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

using std::chrono::microseconds;

namespace {

// Time constant of the decay: longer than it takes to read some long prompts, so that refusals count until their effect on the queues is seen.
constexpr std::chrono::seconds decayTime{2};

// Fraction of refused urgent requests at which requests of low priority may not wait at all.
constexpr double fullPressure = 0.05;

// A smaller fraction would shorten a wait by less than anyone notices.
constexpr double noPressure = 0.001;

// Stands for an unlimited acceptable wait, of a request without a target.
constexpr microseconds longestWait{5'000'000};

// Recent requests below which a refusal is chance.
constexpr double minimumRequests = 3;

} // namespace

LoadShedder::LoadShedder(std::uint32_t priorityGap)
    : m_priorityGap(priorityGap)
{
}

double LoadShedder::decayFactor(const Outcomes &outcomes, Core::TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(now - outcomes.updatedAt) / std::chrono::duration<double>(decayTime));
}

LoadShedder::Outcomes &LoadShedder::updated(const std::string &service, std::uint32_t priority, Core::TimePoint now)
{
    Outcomes &outcomes = m_outcomes[service][priority];
    const double factor = decayFactor(outcomes, now);
    outcomes.admitted *= factor;
    outcomes.refused *= factor;
    outcomes.updatedAt = now;
    return outcomes;
}

void LoadShedder::recordAdmitted(const std::string &service, std::uint32_t priority, Core::TimePoint now)
{
    updated(service, priority, now).admitted += 1;
}

void LoadShedder::recordRefused(const std::string &service, std::uint32_t priority, Core::TimePoint now)
{
    updated(service, priority, now).refused += 1;
}

// The weight of old refusals decays against a constant number, so that the pressure ends although no urgent request arrives any more.
double LoadShedder::refusedFraction(const Outcomes &outcomes, Core::TimePoint now)
{
    const double factor = decayFactor(outcomes, now);
    const double requests = factor * (outcomes.admitted + outcomes.refused);
    return factor * outcomes.refused / std::max(minimumRequests, requests);
}

microseconds LoadShedder::acceptableWait(const std::string &service, std::uint32_t priority, microseconds acceptable, Core::TimePoint now) const
{
    const auto priorities = m_outcomes.find(service);
    if (m_priorityGap == 0 || priorities == m_outcomes.end()) {
        return acceptable;
    }
    double pressure = 0;
    for (const auto &[other, outcomes] : priorities->second) {
        if (other + m_priorityGap <= priority) {
            pressure = std::max(pressure, refusedFraction(outcomes, now));
        }
    }
    if (pressure < noPressure) {
        return acceptable;
    }
    const auto wait = static_cast<double>(std::min(acceptable, longestWait).count());
    return microseconds(static_cast<std::int64_t>(wait * std::max(0.0, 1 - pressure / fullPressure)));
}

} // namespace Verbena::Decisions
