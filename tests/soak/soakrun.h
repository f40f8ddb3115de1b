#pragma once

#include "endlesscaller.h"
#include "holdingcaller.h"
#include "resumingcaller.h"
#include "soakfaults.h"

#include <set>

namespace Verbena::Soak {

/// \brief What to play.
struct RunSettings
{
    std::uint64_t seed = 1;
    std::chrono::seconds length{10}; ///< Of the faults.
    WorldSize size;
    FaultMix mix = FaultMix::Drawn;
    std::string logFolder; ///< For the logs of a run that breaks a promise; empty for none.
    bool areLogsUnread = false; ///< Whether nobody reads what the processes log.
};

/// \brief One run: faults for a while, then calm, then the questions whether all came back.
class SoakRun
{
public:
    explicit SoakRun(RunSettings settings);

    /// \brief Plays it, prints what was broken and returns whether nothing was.
    bool play();

private:
    void startCallers();
    void startLinkedCallers();
    void startLargeCallers();
    SoakCaller &startCaller(const std::string &name, void (SoakRun::*note)(const Outcome &outcome), bool isLinked = false);
    void startResumers();
    void startProbers();
    void noteOutcome(const Outcome &outcome);
    void noteProbe(const Outcome &outcome);
    void judge(const Outcome &outcome);
    void judgeLinked(const Outcome &outcome);
    void tick();
    bool wait(const std::function<bool()> &isDone, std::chrono::seconds patience);
    void checkRecovery();
    bool report();
    void reportBroken();
    int resumed() const;
    std::size_t halfOfCallers() const;

    RunSettings m_settings;
    SoakWorld m_world;
    bool m_hasLargeBodies; ///< Whether the run brings routers near their limit of memory.
    AnswerJudge m_judge;
    SoakFaults m_faults;
    Core::TimePoint m_end;
    EventLoop::Timer m_tick;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::vector<std::unique_ptr<ResumingCaller>> m_resumers;
    std::vector<std::unique_ptr<HoldingCaller>> m_holders;
    std::vector<std::unique_ptr<EndlessCaller>> m_endless;
    std::vector<SoakCaller *> m_probers;
    std::vector<int> m_highest; ///< Configuration that each router has shown since its start.
    std::set<std::pair<std::size_t, std::string>> m_servedInCalm;
    int m_resumedUnderFaults = 0;
    bool m_isCalm = false;
};

} // namespace Verbena::Soak
