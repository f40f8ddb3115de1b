#pragma once

#include "storestandin.h"
#include "workerfake.h"

#include <eventloop/timer.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief The body that ends whatever backend server of a CrashingFleet begins to run it.
inline constexpr const char *crashingBody = "crash";

/// \brief Backend servers of a plain service that crash on one body, and are back a while later in a new life, under a new id.
class CrashingFleet
{
public:
    /// \brief \a count servers at \a ip, entered in the register of \a store for \a service; one that crashed is back after \a downTime.
    CrashingFleet(
        EventLoop::Loop &loop, StoreStandin &store, const std::string &ip, const std::string &service, std::size_t count, std::chrono::milliseconds downTime);
    ~CrashingFleet();

    CrashingFleet(const CrashingFleet &) = delete;
    CrashingFleet &operator=(const CrashingFleet &) = delete;

    /// \brief When a request with the crashing body reached a server, in order; each of them ended it.
    const std::vector<Core::TimePoint> &crashes() const;

    /// \brief Other requests that were answered.
    int served() const;

    /// \brief All servers but those that are down lose what they run, and are back later.
    void crashAll();

    /// \brief The crashing body is answered like any other from now on.
    void cure();

private:
    struct Server
    {
        std::string address;
        std::string id;
        int life = 0;
        std::unique_ptr<WorkerFake> process; ///< Nothing while it is down.
        bool isEnding = false;
        Core::TimePoint backTime;
    };

    void start(std::size_t index);
    WorkerScript answer(std::size_t index, const Http::MessageHead &head, const std::string &body);
    void look();

    EventLoop::Loop &m_loop;
    StoreStandin &m_store;
    std::string m_ip;
    std::string m_service;
    std::chrono::milliseconds m_downTime; ///< A property of the stand-in.
    std::vector<Server> m_servers;
    std::vector<Core::TimePoint> m_crashes;
    int m_served = 0;
    bool m_isCured = false;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Test
