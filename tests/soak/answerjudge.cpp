#include "answerjudge.h"

#include "soakroutes.h"

#include <algorithm>

namespace Verbena::Soak {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// The rules excuse what was sent so long after SIGTERM if it is at work in the last part of the grace period.
constexpr milliseconds noticeTime{3000};
constexpr int gracePartsBeforeTheLast = 5;
constexpr int graceParts = 6;

// Time within which a caller detects a cut, with many processes on the machine; the servers go on meanwhile, as they are in the same process.
constexpr milliseconds cutDetectionTime{1000};

// Planned work lasts so long beyond the grace period.
constexpr milliseconds afterGrace{1000};

// A router can foresee how long a request will take if the latest answers of its route took so long; a router sees this for each route.
constexpr std::size_t latestAnswers = 10;
constexpr std::size_t fewestAnswers = 5;
constexpr std::size_t keptAnswers = 400;

std::string inMilliseconds(Core::TimePoint::duration span)
{
    return std::to_string(duration_cast<milliseconds>(span).count()) + " ms";
}

} // namespace

AnswerJudge::AnswerJudge(Ledger &ledger)
    : m_ledger(ledger)
{
}

void AnswerJudge::judge(const Outcome &outcome, const RouterPast &past)
{
    if (outcome.isUnanswered && !past.isKilled) {
        m_ledger.noteUnanswered(past.name, outcome.id, duration_cast<milliseconds>(outcome.endedAt - outcome.sentAt));
    }
    if (outcome.isCut) {
        judgeCut(outcome, past);
    }
    if (outcome.status == 502 || outcome.isCut) {
        judgeGivenUp(outcome, past);
    }
    if (outcome.status == 200) {
        std::deque<Answered> &answered = m_answered[{outcome.router, outcome.path}];
        answered.push_back({outcome.endedAt, outcome.endedAt - outcome.sentAt});
        if (answered.size() > keptAnswers) {
            answered.pop_front();
        }
    }
}

int AnswerJudge::unforeseen() const
{
    return m_unforeseen;
}

bool AnswerJudge::isExcused(const Outcome &outcome, const RouterPast &past) const
{
    const bool isLate = outcome.endedAt >= outcome.sentAt + deadlineOf(outcome.path);
    return past.isKilled || past.isDisturbed || isLate || m_ledger.isBrokenOff(outcome.id);
}

// An answer that began has to be whole, but for what still was at work in the last sixth of the grace period. A server does not learn at once that the router
// has given its request up, and may end its work meanwhile.
void AnswerJudge::judgeCut(const Outcome &outcome, const RouterPast &past)
{
    const bool isAllowed = std::any_of(past.stops.begin(), past.stops.end(), [&](const PlannedStop &stop) {
        const Core::TimePoint lastPart = stop.at + stop.grace * gracePartsBeforeTheLast / graceParts;
        const bool wasAtWork = m_ledger.wasAtWork(outcome.id, std::max(lastPart, outcome.endedAt - cutDetectionTime));
        return wasAtWork && outcome.sentAt <= stop.at + noticeTime && outcome.endedAt >= lastPart && outcome.endedAt <= stop.at + stop.grace + afterGrace;
    });
    if (!isAllowed && !isExcused(outcome, past)) {
        const std::string stop = past.stops.empty() ? "" : ", " + inMilliseconds(outcome.endedAt - past.stops.back().at) + " after its last SIGTERM";
        m_ledger.noteBroken(past.name,
            "cut its answer to the request " + outcome.id + " for " + outcome.path + ' ' + inMilliseconds(outcome.endedAt - outcome.sentAt)
                + " after it was sent" + stop + (m_ledger.wasAtWork(outcome.id, outcome.endedAt) ? ", with its server at work" : ""),
            outcome.id);
    }
}

// Returns whether most of the latest answers of the route had taken longer than was left until SIGKILL when the request came.
bool AnswerJudge::wasForeseeable(const Outcome &outcome, const PlannedStop &stop) const
{
    const auto found = m_answered.find({outcome.router, outcome.path});
    if (found == m_answered.end()) {
        return false;
    }
    const Core::TimePoint::duration left = stop.at + stop.grace - outcome.sentAt;
    std::size_t seen = 0;
    std::size_t longer = 0;
    for (auto answered = found->second.rbegin(); answered != found->second.rend() && seen < latestAnswers; ++answered) {
        if (answered->endedAt <= outcome.sentAt && answered->endedAt >= stop.startedAt) {
            ++seen;
            longer += answered->took > left ? 1 : 0;
        }
    }
    return seen >= fewestAnswers && longer * 2 > seen;
}

// A request that came during the stop, went to a server and could be known not to end in time had to be refused.
void AnswerJudge::judgeGivenUp(const Outcome &outcome, const RouterPast &past)
{
    if (isExcused(outcome, past) || !m_ledger.hasReachedServer(outcome.id)) {
        return;
    }
    for (const PlannedStop &stop : past.stops) {
        const bool isInStop = outcome.sentAt > stop.at && outcome.endedAt <= stop.at + stop.grace + afterGrace;
        m_unforeseen += isInStop && !wasForeseeable(outcome, stop) ? 1 : 0;
        if (isInStop && wasForeseeable(outcome, stop)) {
            m_ledger.noteBroken(past.name,
                "took the request " + outcome.id + " for " + outcome.path + (mayRepeat(outcome.path) ? "" : ", which may run once,") + ' '
                    + inMilliseconds(outcome.sentAt - stop.at) + " after SIGTERM, grace " + std::to_string(stop.grace.count()) + " ms, and gave it up "
                    + inMilliseconds(outcome.endedAt - outcome.sentAt) + " later, though the answers of this route took longer than was left",
                outcome.id);
        }
    }
}

} // namespace Verbena::Soak
