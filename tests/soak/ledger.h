#pragma once

#include <core/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief An order that reached an engine.
struct Order
{
    std::string holder; ///< Host of the process that gave it.
    std::uint64_t fence = 0;
    Core::TimePoint receivedAt;
};

/// \brief What crashes the backend servers.
enum class CrashCause {
    Request, ///< A request that comes again and again.
    PromptPart, ///< A part of the prompts of different requests.
};

/// \brief A promise that was broken.
struct Verdict
{
    std::chrono::milliseconds at{0}; ///< Since the run began.
    std::string where; ///< Process, backend server or request.
    std::string what;
    std::string request; ///< Id of the request that it is about; empty if there is none.
};

/// \brief What callers and backend servers saw, held against the promises.
class Ledger
{
public:
    /// \brief The time of verdicts is that of \a now, from now on.
    explicit Ledger(std::function<Core::TimePoint()> now);

    /// \brief A backend server began to run the request \a id.
    void noteRun(const std::string &id, bool mayRepeat);

    /// \brief A backend server has sent its whole answer to the request \a id.
    void noteRunEnd(const std::string &id);

    /// \brief Returns whether a backend server began to run the request \a id and none had sent its whole answer before \a time.
    bool wasAtWork(const std::string &id, Core::TimePoint time) const;

    bool hasReachedServer(const std::string &id) const;

    /// \brief A backend server broke off its answer to the request \a id, or sends it without end.
    void noteBrokenOff(const std::string &id);
    bool isBrokenOff(const std::string &id) const;

    /// \brief The router \a router, which was not killed, ended the connection of the request \a id without an answer, \a waited after it was sent.
    void noteUnanswered(const std::string &router, const std::string &id, std::chrono::milliseconds waited);

    /// \brief A caller was told that the request \a id has not run and never will.
    void notePromise(const std::string &id, bool mayRepeat);

    /// \brief An engine received \a order.
    void noteOrder(const std::string &engine, const Order &order);

    /// \brief Something was seen at \a where that must not be; \a request is the id of the request that it is about, empty if there is none.
    void noteBroken(const std::string &where, const std::string &what, const std::string &request = {});

    /// \brief Something was seen with the request \a id that must not be.
    void noteBrokenRequest(const std::string &id, const std::string &what);

    void noteServed();

    /// \brief A process of \a program has held \a megabytes at its peak.
    void notePeak(const std::string &program, std::uint64_t megabytes);

    /// \brief Returns the largest peak of the processes of each program, in megabytes.
    const std::map<std::string, std::uint64_t> &peaks() const;

    /// \brief A backend server ended at \a now by \a cause.
    void noteCrash(CrashCause cause, Core::TimePoint now);

    int crashes(CrashCause cause) const;

    /// \brief All that was broken, in the order in which it was seen.
    const std::vector<Verdict> &broken() const;

    int served() const;
    int runs() const;

private:
    struct Crashes
    {
        int count = 0;
        Core::TimePoint knownSince{}; ///< Time of the crash after which all routers have to know of the cause.
        int retries = 0; ///< Crashes later than the contact time after it.
    };

    std::function<Core::TimePoint()> m_now;
    Core::TimePoint m_begin;
    std::map<std::string, Core::TimePoint> m_finished; ///< Time of the first whole answer, by id.
    std::set<std::string> m_brokenOff;
    std::map<std::string, int> m_runs; ///< By id, of requests that may run once.
    std::set<std::string> m_passedOn; ///< Ids of all requests that reached a backend server.
    std::set<std::string> m_promised;
    std::map<std::string, Order> m_lastOrders; ///< By engine.
    std::vector<Verdict> m_broken;
    std::map<std::string, std::uint64_t> m_peaks; ///< By program, in megabytes.
    int m_served = 0;
    int m_allRuns = 0;
    std::map<CrashCause, Crashes> m_crashes;
};

} // namespace Verbena::Soak
