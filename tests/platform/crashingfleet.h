#pragma once

#include "storestandin.h"
#include "workerfake.h"

#include <eventloop/timer.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief The body that crashes every backend server of a CrashingFleet that runs it.
inline constexpr const char *crashingBody = "crash";

/// \brief The part of a prompt that crashes every engine of a CrashingFleet that begins to answer it.
inline constexpr const char *crashingPart = "bad";

/// \brief Time within which all routers have to know what crashes the servers, and number of arrivals that are allowed later.
inline constexpr std::chrono::seconds contactTime{3};
inline constexpr std::size_t maximumRetries = 3;

/// \brief Backend servers that crash on one body, or on one part of a prompt, and restart some time later under a new id.
class CrashingFleet
{
public:
    enum class Kind {
        Plain, ///< Servers of a plain service; they crash on crashingBody.
        Engines, ///< Engines of the model "m"; they crash on crashingPart after they have sent the head of an answer.
    };

    /// \brief Starts \a count servers at \a ip and registers them in \a store for \a service; a crashed server restarts after \a downTime.
    CrashingFleet(EventLoop::Loop &loop,
        StoreStandin &store,
        const std::string &ip,
        const std::string &service,
        std::size_t count,
        std::chrono::milliseconds downTime,
        Kind kind = Kind::Plain);
    ~CrashingFleet();

    CrashingFleet(const CrashingFleet &) = delete;
    CrashingFleet &operator=(const CrashingFleet &) = delete;

    /// \brief Returns the times at which crashing requests reached a server, in order.
    const std::vector<Core::TimePoint> &crashes() const;

    /// \brief Returns the number of crashes() later than the contact time after the first \a knownCrashes of them.
    std::size_t retriesAfter(std::size_t knownCrashes) const;

    /// \brief Returns the number of other requests that were answered.
    int served() const;

    /// \brief Crashes all servers that are up; they restart later.
    void crashAll();

    /// \brief Answers crashing requests like any others from now on.
    void cure();

private:
    struct Server
    {
        std::string address;
        std::string id;
        int life = 0;
        std::unique_ptr<WorkerFake> process; ///< Null while it is down.
        bool isEnding = false;
        Core::TimePoint endTime; ///< Time at which it ends, if it is ending.
        Core::TimePoint backTime;
    };

    void start(std::size_t index);
    WorkerScript answer(std::size_t index, const Http::MessageHead &head, const std::string &body);
    WorkerScript crash(Server &server, const std::string &fields);
    bool isCrashing(const Http::MessageHead &head, const std::string &body) const;
    void look();

    EventLoop::Loop &m_loop;
    StoreStandin &m_store;
    std::string m_ip;
    std::string m_service;
    std::chrono::milliseconds m_downTime; ///< Time from a crash to the restart.
    Kind m_kind;
    std::vector<Server> m_servers;
    std::vector<Core::TimePoint> m_crashes;
    int m_served = 0;
    bool m_isCured = false;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Test
