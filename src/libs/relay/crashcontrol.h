#pragma once

#include <decisions/relay/crashsubject.h>
#include <decisions/relay/fleetchoice.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief A call whose connection ended before its answer was complete.
struct LostCall
{
    std::vector<Decisions::CrashSubject> subjects; ///< What may have crashed the server if it ended: the request, and parts of its prompt.
    std::string attemptId; ///< Caller's id of the request, for the log.
    std::string organisation;
    std::string serverId;
    std::uint64_t incarnation = 0;
    std::string address;
    bool hasServerEnded = false; ///< Whether it is known already that the backend server has ended.
};

/// \brief Whether the backend server of a lost call is known to have ended.
enum class ServerEnd {
    Proved,
    Unknown,
};

/// \brief Tells whether a suspected request may run as a trial, the only one of its kind at a time.
struct TrialVerdict
{
    bool isGranted = false;
    Decisions::CrashSubject subject; ///< The suspect that the trial is counted for.
    std::size_t crashes = 0; ///< Crashes of the suspect.
    std::chrono::milliseconds retryAfter{0}; ///< Time until another trial may be granted, if this one is not.
};

/// \brief Keeps track, for all routers together, of requests and parts of prompts that crash the backend servers that run them.
class CrashControl
{
public:
    using TrialCallback = std::function<void(const TrialVerdict &verdict)>;
    using CheckCallback = std::function<void(ServerEnd end)>;

    virtual ~CrashControl() = default;

    /// \brief Returns whether there are any records; without records, subjects need not be computed.
    virtual bool hasRecords() const = 0;

    /// \brief Returns whether requests with \a subject may run only as trials.
    virtual bool isSuspected(const Decisions::CrashSubject &subject) const = 0;

    /// \brief Asks for a trial of a request with \a suspects, which must not be empty. Returns a number for withdraw(), or 0 if \a done has already been
    /// called.
    virtual std::uint64_t claimTrial(const std::vector<Decisions::CrashSubject> &suspects, TrialCallback done) = 0;

    /// \brief Releases a granted trial of \a subject that reached no backend server.
    virtual void releaseTrial(const Decisions::CrashSubject &subject) = 0;

    /// \brief Checks whether the backend server of \a call has ended and records a crash if so; calls \a done when this is known or cannot be determined soon.
    ///
    /// Returns a number for withdraw(), or 0 if \a done has already been called.
    virtual std::uint64_t handleLostCall(const LostCall &call, CheckCallback done) = 0;

    /// \brief Cancels the callback of \a number.
    virtual void withdraw(std::uint64_t number) = 0;

    /// \brief Clears the records of \a subjects, which a backend server has run and survived.
    virtual void handleSuccess(const std::vector<Decisions::CrashSubject> &subjects) = 0;
};

} // namespace Verbena::Relay
