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

/// \brief Finds out whether the backend servers of lost calls have ended: by a connection at once, and by the register later.
class LostCallChecker
{
public:
    /// \brief Called with each call whose server has ended, and how that was found.
    using Recorder = std::function<void(const LostCall &call, const char *proof)>;

    LostCallChecker(EventLoop::Loop &loop, const Decisions::ServerRegister &servers, Recorder recorder);

    LostCallChecker(const LostCallChecker &) = delete;
    LostCallChecker &operator=(const LostCallChecker &) = delete;

    /// \brief The life of a backend server that \a call was sent to.
    static std::string incarnationKey(const LostCall &call);

    /// \brief Looks into \a call; calls \a done once something is known or cannot be soon. False if it has been called already.
    bool check(const LostCall &call, std::uint64_t number, CrashControl::CheckCallback done);

    /// \brief Nobody waits for what \a number finds any more.
    void withdraw(std::uint64_t number);

    /// \brief Asks the register again, and forgets what is long over.
    void checkRegister(Core::TimePoint now);

private:
    // A call that was lost, until it is known whether its backend server ended.
    struct PendingCall
    {
        LostCall call;
        std::uint64_t number = 0;
        CrashControl::CheckCallback done; ///< Empty once nobody waits.
    };

    // The calls lost at one life of a backend server.
    struct ServerCheck
    {
        std::unique_ptr<ConnectCheck> connectCheck; ///< Nothing once it has found what it can.
        std::vector<PendingCall> pendingCalls; ///< That wait for what it finds.
        std::vector<LostCall> unresolved; ///< It found nothing about these.
        Core::TimePoint deadline; ///< Until then the register may tell.
    };

    void handleFinding(const std::string &key, ConnectCheck::Finding finding);
    bool hasEnded(const LostCall &call) const;
    bool isStaying(const LostCall &call) const;

    EventLoop::Loop &m_loop;
    const Decisions::ServerRegister &m_servers;
    Recorder m_recorder;
    std::map<std::string, ServerCheck> m_checks; ///< By life of a backend server.
    std::map<std::string, Core::TimePoint> m_endedIncarnations; ///< Lives that are known to have ended, and until when that is remembered.
};

} // namespace Verbena::Relay
