#include "shutdownplan.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Part of the grace period, and its bounds, that is left when requests are given up, so that their answers are written and read. The shortest part is below the
// last sixth, in which the users allow that requests are given up.
constexpr int answerShareDivisor = 16;
constexpr int largestAnswerShareDivisor = 7;
constexpr milliseconds shortestAnswerTime{250};
constexpr milliseconds longestAnswerTime{500};

// Part of that time in which callers read their answers; the process ends in the rest.
constexpr int readingShareDivisor = 3;

// Time before the requests are given up at which those are refused that have not been sent to a backend server.
constexpr milliseconds unsentRefusalMargin{250};

// Time that an answer takes from its backend server to the caller.
constexpr milliseconds forwardingMargin{100};

// Work may take longer by a quarter than it took before.
constexpr int expectedTimeNumerator = 4;
constexpr int expectedTimeDenominator = 5;

// A refused request costs its caller the way to another router. One that is given up costs all of its time so far and, if it may not be repeated, it fails.
constexpr double acceptableRiskIfRepeatable = 0.25;
constexpr double acceptableRisk = 0.125;

milliseconds answerTime(milliseconds grace)
{
    const milliseconds share = std::clamp(grace / answerShareDivisor, shortestAnswerTime, longestAnswerTime);
    return std::min(share, grace / largestAnswerShareDivisor);
}

} // namespace

ShutdownPlan::ShutdownPlan(Core::TimePoint noticed, Core::TimePoint asked, milliseconds notice, milliseconds grace)
{
    const milliseconds answers = answerTime(grace);
    m_giveUpTime = asked + grace - answers;
    m_end = m_giveUpTime + answers / readingShareDivisor;
    m_unsentEnd = m_giveUpTime - unsentRefusalMargin;
    m_noticeEnd = std::min(noticed + notice, m_unsentEnd);
}

Core::TimePoint ShutdownPlan::noticeEnd() const
{
    return m_noticeEnd;
}

Core::TimePoint ShutdownPlan::unsentEnd() const
{
    return m_unsentEnd;
}

Core::TimePoint ShutdownPlan::giveUpTime() const
{
    return m_giveUpTime;
}

Core::TimePoint ShutdownPlan::end() const
{
    return m_end;
}

Core::TimePoint ShutdownPlan::nextStep(Core::TimePoint now, Core::TimePoint latest) const
{
    Core::TimePoint next = latest;
    for (const Core::TimePoint step : {m_noticeEnd, m_unsentEnd, m_giveUpTime, m_end}) {
        next = step > now ? std::min(next, step) : next;
    }
    return next;
}

bool ShutdownPlan::isExpectedToEnd(const StoppingRequest &request, const RunTimes &times, Core::TimePoint now) const
{
    if (now >= m_unsentEnd) {
        return false;
    }
    const Core::TimePoint latest = m_giveUpTime - forwardingMargin;
    if (request.deadline <= latest) {
        return true;
    }
    const milliseconds left = duration_cast<milliseconds>(latest - now) * expectedTimeNumerator / expectedTimeDenominator;
    const double risk = times.fractionAbove(request.route, request.elapsed, request.elapsed + left, now);
    return risk <= (request.isRepeatable ? acceptableRiskIfRepeatable : acceptableRisk);
}

} // namespace Verbena::Decisions
