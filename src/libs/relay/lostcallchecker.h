#pragma once

#include "connectcheck.h"
#include "crashcontrol.h"

#include <decisions/relay/serverregister.h>
#include <eventloop/loop.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Checks whether the backend servers of lost calls have ended: at once by a connection, and later by the register.
class LostCallChecker
{
public:
    /// \brief Called with each call whose server has ended, and with the kind of proof.
    using Recorder = std::function<void(const LostCall &call, const char *proof)>;

    LostCallChecker(EventLoop::Loop &loop, const Decisions::ServerRegister &servers, Recorder recorder);

    LostCallChecker(const LostCallChecker &) = delete;
    LostCallChecker &operator=(const LostCallChecker &) = delete;

    /// \brief Returns a key for the incarnation of the backend server to which \a call was sent.
    static std::string incarnationKey(const LostCall &call);

    /// \brief Checks the server of \a call; calls \a done when the result is known or cannot be determined soon. Returns false if \a done has already been
    /// called.
    bool check(const LostCall &call, std::uint64_t number, CrashControl::CheckCallback done);

    /// \brief Cancels the callback of \a number; the check goes on.
    void withdraw(std::uint64_t number);

    /// \brief Checks the register for servers that have ended, and removes expired entries.
    void checkRegister(Core::TimePoint now);

private:
    // A lost call whose connection check is still running.
    struct PendingCall
    {
        LostCall call;
        std::uint64_t number = 0;
        CrashControl::CheckCallback done; ///< Empty after the callback was withdrawn.
    };

    // The calls that were lost at one incarnation of a backend server.
    struct ServerCheck
    {
        std::unique_ptr<ConnectCheck> connectCheck; ///< Null after the check has ended.
        std::vector<PendingCall> pendingCalls; ///< Calls that wait for the result of the check.
        std::vector<LostCall> unresolved; ///< Calls for which the check brought no proof.
        Core::TimePoint deadline; ///< Time until which the register is checked.
    };

    void handleFinding(const std::string &key, ConnectCheck::Finding finding);
    bool hasEnded(const LostCall &call) const;
    bool hasRestarted(const LostCall &call) const;
    bool isStaying(const LostCall &call) const;

    EventLoop::Loop &m_loop;
    const Decisions::ServerRegister &m_servers;
    Recorder m_recorder;
    std::map<std::string, ServerCheck> m_checks; ///< Running checks, by incarnation key.
    std::map<std::string, Core::TimePoint> m_endedIncarnations; ///< Incarnations that have ended, with the time at which the entry expires.
};

} // namespace Verbena::Relay
