#pragma once

#include "soakcaller.h"

#include <deque>
#include <map>

namespace Verbena::Soak {

/// \brief A SIGTERM of a router.
struct PlannedStop
{
    Core::TimePoint at;
    std::chrono::milliseconds grace{0};
    Core::TimePoint startedAt; ///< Start of the process, which knows nothing of earlier answers.
};

/// \brief What happened to the router of a request, as far as it excuses an answer that is not whole.
struct RouterPast
{
    std::string name;
    bool isKilled = false; ///< Whether it was killed after the request was sent.
    bool isDisturbed = false; ///< Whether anything unplanned happened to it, the servers or the ways between, from some seconds before the request to its end.
    std::vector<PlannedStop> stops;
};

/// \brief Judges answers that callers did not get, or not whole, by the users' rules.
class AnswerJudge
{
public:
    explicit AnswerJudge(Ledger &ledger);

    /// \brief Judges \a outcome; those of a route tell how long its answers take at a router.
    void judge(const Outcome &outcome, const RouterPast &past);

    /// \brief Number of requests that came during a stop and were given up, without anything that would have told how long they take.
    int unforeseen() const;

private:
    struct Answered
    {
        Core::TimePoint endedAt;
        Core::TimePoint::duration took;
    };

    void judgeCut(const Outcome &outcome, const RouterPast &past);
    void judgeGivenUp(const Outcome &outcome, const RouterPast &past);
    bool isExcused(const Outcome &outcome, const RouterPast &past) const;
    bool wasForeseeable(const Outcome &outcome, const PlannedStop &stop) const;

    Ledger &m_ledger;
    int m_unforeseen = 0;
    std::map<std::pair<std::size_t, std::string>, std::deque<Answered>> m_answered; ///< Latest ones, by router and path.
};

} // namespace Verbena::Soak
