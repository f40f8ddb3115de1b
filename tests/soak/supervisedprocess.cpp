#include "supervisedprocess.h"

#include <core/processmemory.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace Verbena::Soak {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// So many signals of a process are named in a verdict.
constexpr std::size_t namedSignals = 6;

constexpr milliseconds poll{1};
constexpr int mostExecutionPolls = 200;

// The processor that a program needs at most for its first instructions, which have to block its signals. The address sanitizer starts before them, and keeps
// freed memory, so that its builds say nothing of what a host allows. After main() it looks for leaks before the process ends.
#ifdef __SANITIZE_ADDRESS__
constexpr milliseconds leakCheckTime{1000};
constexpr std::chrono::nanoseconds beginTime = std::chrono::milliseconds(200);
constexpr bool isMemoryJudged = false;
#else
constexpr milliseconds leakCheckTime{0};
constexpr std::chrono::nanoseconds beginTime = std::chrono::milliseconds(1);
constexpr bool isMemoryJudged = true;
#endif

std::chrono::nanoseconds processorTime(pid_t pid)
{
    clockid_t clock{};
    timespec used{};
    if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &used) != 0) {
        return std::chrono::nanoseconds(0);
    }
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

// Returns whether the system has prepared the memory of the program of \a pid. Until then it frees that of the process that was copied, which may take longer
// than the first instructions; the vector of the new program has its end only.
bool isPrepared(pid_t pid)
{
    constexpr std::size_t emptyVector = 2 * sizeof(unsigned long);
    std::ifstream file("/proc/" + std::to_string(pid) + "/auxv", std::ios::binary);
    const std::string vector{std::istreambuf_iterator<char>(file), {}};
    return vector.size() > emptyVector;
}

// The line of /proc/PID/status that begins with a word; empty if there is none, as for a process that has ended.
std::string statusWord(pid_t pid, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (status >> word) {
        std::string value;
        if (word == name && status >> value) {
            return value;
        }
    }
    return {};
}

bool hasSignal(pid_t pid, const std::string &mask, int signalNumber)
{
    const std::string value = statusWord(pid, mask);
    return !value.empty() && (std::stoull(value, nullptr, 16) & (std::uint64_t(1) << (signalNumber - 1))) != 0;
}

} // namespace

SupervisedProcess::SupervisedProcess(EventLoop::Loop &loop, Ledger &ledger, ProcessTerms terms)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_terms(std::move(terms))
    , m_child(m_terms.program, {"--host", m_terms.hostFile}, m_terms.descriptors)
    , m_pid(m_child.pid())
    , m_startedAt(loop.now())
    , m_hangUp(loop, [this] {
        if (m_hangUpDelay.has_value() && !hasBegun()) {
            m_hangUp.startAt(m_loop.now() + poll);
        } else if (m_hangUpDelay.has_value()) {
            m_hangUp.startAt(m_loop.now() + *m_hangUpDelay);
            m_hangUpDelay.reset();
        } else {
            signal(SIGHUP);
        }
    })
{
    if (m_pid < 0) {
        noteBroken("could not be started");
    }
    awaitExecution();
    m_processorBefore = processorTime(m_pid);
}

void SupervisedProcess::awaitExecution() const
{
    for (int polls = 0; polls < mostExecutionPolls && !isExecuting(); ++polls) {
        std::this_thread::sleep_for(poll);
    }
}

bool SupervisedProcess::hasBegun() const
{
    return processorTime(m_pid) - m_processorBefore >= beginTime;
}

// Before, the process is a copy of the soak, for which signals have another effect.
bool SupervisedProcess::isExecuting() const
{
    std::error_code error;
    const std::string own = std::filesystem::read_symlink("/proc/self/exe", error);
    return std::filesystem::read_symlink("/proc/" + std::to_string(m_pid) + "/exe", error) != own && isPrepared(m_pid);
}

// Returns whether the process neither blocks nor handles a signal yet, by what the system says of it.
bool SupervisedProcess::isLoading(int signalNumber) const
{
    return !hasSignal(m_pid, "SigBlk:", signalNumber) && !hasSignal(m_pid, "SigCgt:", signalNumber);
}

void SupervisedProcess::signal(int signalNumber)
{
    if (m_child.pid() < 0) {
        return;
    }
    const Core::TimePoint now = m_loop.now();
    if (signalNumber == SIGTERM && !m_terminatedAt.has_value()) {
        m_terminatedAt = now;
    }
    m_isTerminatedWhileLoading = m_isTerminatedWhileLoading || (signalNumber == SIGTERM && isLoading(signalNumber));
    m_isHungUpBeforeBegin = m_isHungUpBeforeBegin || (signalNumber == SIGHUP && isLoading(signalNumber) && !hasBegun());
    if (signalNumber == SIGKILL) {
        m_killedAt = now;
    }
    if (signalNumber == SIGSTOP || (signalNumber == SIGCONT && m_isStopped)) {
        m_lastStop = now;
        m_isStopped = signalNumber == SIGSTOP;
    }
    m_signals.push_back({signalNumber, now});
    m_child.sendSignal(signalNumber);
}

void SupervisedProcess::hangUpEarly(milliseconds delay)
{
    m_hangUpDelay = delay;
    m_hangUp.startAt(m_loop.now());
}

bool SupervisedProcess::check()
{
    checkMemory();
    if (m_child.isRunning()) {
        checkGrace();
        return false;
    }
    m_hangUp.stop();
    judgeEnd();
    return true;
}

// The host kills what takes more than it may.
void SupervisedProcess::checkMemory()
{
    const std::uint64_t peak = Core::processMemory(m_pid, "VmHWM:");
    if (peak == 0 || !isExecuting()) {
        return;
    }
    const std::uint64_t megabytes = peak >> 20U;
    m_ledger.notePeak(m_terms.program, megabytes);
    if (isMemoryJudged && !m_killedAt.has_value() && peak > m_terms.memoryBytes) {
        noteBroken("took " + std::to_string(megabytes) + " MB where its host allows " + std::to_string(m_terms.memoryBytes >> 20U));
        signal(SIGKILL);
    }
}

// A process that stood still within its grace period may be killed at its end.
void SupervisedProcess::checkGrace()
{
    if (!m_terminatedAt.has_value() || m_killedAt.has_value() || m_loop.now() < *m_terminatedAt + m_terms.grace + leakCheckTime) {
        return;
    }
    if (!m_lastStop.has_value() || *m_lastStop < *m_terminatedAt) {
        noteBroken("still ran at the end of its grace period of " + std::to_string(m_terms.grace.count()) + " ms");
    }
    signal(SIGKILL);
}

void SupervisedProcess::judgeEnd()
{
    const int status = m_child.waitForExit();
    const bool isAsked
        = (m_killedAt.has_value() && status == -SIGKILL) || (m_isTerminatedWhileLoading && status == -SIGTERM) || (m_isHungUpBeforeBegin && status == -SIGHUP);
    if (status == Test::ChildProcess::notExecutedStatus) {
        noteBroken("could not be executed; was the program replaced while the soak ran?");
    } else if (status != 0 && !isAsked) {
        noteBroken(status < 0 ? std::string("was ended by the signal ") + strsignal(-status) : "ended by itself with status " + std::to_string(status));
    } else if (status == 0 && !m_terminatedAt.has_value()) {
        noteBroken("ended by itself without being asked to");
    }
}

void SupervisedProcess::noteBroken(const std::string &what)
{
    m_ledger.noteBroken(m_terms.name + " (process " + std::to_string(m_pid) + ')', what + history());
}

std::string SupervisedProcess::history() const
{
    std::string text = ", " + std::to_string(duration_cast<milliseconds>(m_loop.now() - m_startedAt).count()) + " ms after its start";
    const std::size_t first = m_signals.size() - std::min(m_signals.size(), namedSignals);
    for (std::size_t index = first; index < m_signals.size(); ++index) {
        const SentSignal &sent = m_signals[index];
        text += std::string(index == first ? "; signals: " : ", ") + sigabbrev_np(sent.number) + " at "
            + std::to_string(duration_cast<milliseconds>(sent.at - m_startedAt).count()) + " ms";
    }
    return text;
}

std::optional<Core::TimePoint> SupervisedProcess::killedAt() const
{
    return m_killedAt;
}

Core::TimePoint SupervisedProcess::startedAt() const
{
    return m_startedAt;
}

std::optional<Core::TimePoint> SupervisedProcess::terminatedAt() const
{
    return m_terminatedAt;
}

const ProcessTerms &SupervisedProcess::terms() const
{
    return m_terms;
}

std::string SupervisedProcess::takeOutput()
{
    return m_child.takeOutput();
}

void SupervisedProcess::closeOutput()
{
    m_child.closeOutput();
}

} // namespace Verbena::Soak
