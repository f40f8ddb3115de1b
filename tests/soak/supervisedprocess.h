#pragma once

#include "ledger.h"

#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <support/childprocess.h>

#include <optional>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief What a process is started with and what its host allows it.
struct ProcessTerms
{
    std::string program;
    std::string name;
    std::string hostFile;
    std::optional<rlimit> descriptors;
    std::chrono::milliseconds grace{0}; ///< From SIGTERM to SIGKILL.
    std::uint64_t memoryBytes = 0;
};

/// \brief One process of the project as its host sees it: it is signalled, killed at the end of its grace period or at its limit of memory, and its end judged.
class SupervisedProcess
{
public:
    SupervisedProcess(EventLoop::Loop &loop, Ledger &ledger, ProcessTerms terms);

    SupervisedProcess(const SupervisedProcess &) = delete;
    SupervisedProcess &operator=(const SupervisedProcess &) = delete;

    /// \brief Sends \a signalNumber; from the first SIGTERM on, the grace period runs.
    void signal(int signalNumber);

    /// \brief Sends SIGHUP \a delay after the program has had time for its first instructions.
    void hangUpEarly(std::chrono::milliseconds delay);

    /// \brief Holds the process to its memory and its grace period; to be called now and then. Returns whether it has ended.
    bool check();

    /// \brief Time of the SIGKILL that ended it by no fault of its own, or because of one that is noted; nothing if there was none.
    std::optional<Core::TimePoint> killedAt() const;

    Core::TimePoint startedAt() const;

    /// \brief Time of the first SIGTERM.
    std::optional<Core::TimePoint> terminatedAt() const;

    const ProcessTerms &terms() const;
    std::string takeOutput();
    void closeOutput();

private:
    struct SentSignal
    {
        int number;
        Core::TimePoint at;
    };

    void awaitExecution() const;
    bool isExecuting() const;
    bool hasBegun() const;
    bool isLoading(int signalNumber) const;
    void checkMemory();
    void checkGrace();
    void judgeEnd();
    void noteBroken(const std::string &what);
    std::string history() const;

    EventLoop::Loop &m_loop;
    Ledger &m_ledger;
    ProcessTerms m_terms;
    Test::ChildProcess m_child;
    pid_t m_pid;
    Core::TimePoint m_startedAt;
    EventLoop::Timer m_hangUp;
    std::optional<std::chrono::milliseconds> m_hangUpDelay; ///< From hasBegun(), until that is seen.
    std::chrono::nanoseconds m_processorBefore{0}; ///< What the process had used before its program was executed.
    std::vector<SentSignal> m_signals;
    std::optional<Core::TimePoint> m_terminatedAt;
    std::optional<Core::TimePoint> m_killedAt;
    std::optional<Core::TimePoint> m_lastStop; ///< Last begin or end of a time in which it stood still.
    bool m_isStopped = false;
    bool m_isTerminatedWhileLoading = false; ///< Whether a SIGTERM came before it was blocked or handled.
    bool m_isHungUpBeforeBegin = false; ///< Whether a SIGHUP came before the program could have blocked it.
};

} // namespace Verbena::Soak
