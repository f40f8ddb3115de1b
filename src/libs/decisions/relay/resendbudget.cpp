#include "resendbudget.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Parts of a window that are counted apart.
constexpr int stepsPerWindow = 20;

// Of what the limits allow, the part that each purpose may fill up. What is left of the whole covers clocks, steps and messages that are still on their
// way; what moves leave is there for the failures that follow them, so that no stream that was moved breaks off for want of a resend.
constexpr double movePart = 0.4;
constexpr double failurePart = 0.75;
constexpr double begunStreamPart = 0.9;

double usedPart(ResendPurpose purpose)
{
    switch (purpose) {
    case ResendPurpose::Move:
        return movePart;
    case ResendPurpose::Failure:
        return failurePart;
    case ResendPurpose::BegunStream:
        return begunStreamPart;
    }
    return 0;
}

} // namespace

ResendBudget::ResendBudget(const ResendLimits &limits, std::uint32_t routerCount)
    : m_limits(limits)
    , m_routerCount(std::max<std::uint32_t>(1, routerCount))
{
}

void ResendBudget::setRouterCount(std::uint32_t count)
{
    m_routerCount = std::max<std::uint32_t>(1, count);
}

ResendBudget::Step &ResendBudget::currentStep(const std::string &service, Core::TimePoint now)
{
    std::deque<Step> &steps = m_services[service].steps;
    while (!steps.empty() && steps.front().begin + m_limits.window < now) {
        steps.pop_front();
    }
    if (steps.empty() || steps.back().begin + m_limits.window / stepsPerWindow < now) {
        steps.push_back({now});
    }
    return steps.back();
}

void ResendBudget::noteRequest(const std::string &service, Core::TimePoint now)
{
    ++currentStep(service, now).requests;
}

ResendBalance ResendBudget::balance(const std::string &service, ResendPurpose purpose, Core::TimePoint now)
{
    currentStep(service, now);
    double requests = 0;
    double resends = 0;
    for (const Step &step : m_services[service].steps) {
        requests += step.requests;
        resends += step.resends;
    }
    const double allowed = usedPart(purpose) * (m_limits.ratio * requests + m_limits.slack / m_routerCount);
    return {allowed - resends, m_routerCount};
}

bool ResendBudget::tryTake(const std::string &service, ResendPurpose purpose, Core::TimePoint now)
{
    if (balance(service, purpose, now).left < 1) {
        return false;
    }
    ++currentStep(service, now).resends;
    return true;
}

} // namespace Verbena::Decisions
