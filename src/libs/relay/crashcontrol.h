#pragma once

#include <decisions/relay/fleetchoice.h>
#include <decisions/relay/requestidentity.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace Verbena::Relay {

/// \brief A call whose connection ended before its answer was complete.
struct LostCall
{
    Decisions::RequestIdentity request;
    std::string attemptId; ///< Caller's id of the request, for the log.
    std::string organisation;
    std::string serverId;
    std::uint64_t incarnation = 0;
    std::string address;
};

/// \brief Tells whether a suspected request may run as a trial, the only one of its kind at a time.
struct TrialVerdict
{
    bool isGranted = false;
    std::chrono::milliseconds retryAfter{0}; ///< Time until another trial may be granted, if this one is not.
};

/// \brief Keeps track, for all routers together, of requests that crash the backend servers that run them.
class CrashControl
{
public:
    using TrialCallback = std::function<void(const TrialVerdict &verdict)>;
    using CheckCallback = std::function<void()>;

    virtual ~CrashControl() = default;

    /// \brief Returns whether there are records of any request; without records, identities need not be computed.
    virtual bool hasRecords() const = 0;

    /// \brief Returns whether \a request may run only as a trial.
    virtual bool isSuspected(const Decisions::RequestIdentity &request) const = 0;

    /// \brief Asks for a trial of \a request. Returns a number for withdraw(), or 0 if \a done has already been called.
    virtual std::uint64_t claimTrial(const Decisions::RequestIdentity &request, TrialCallback done) = 0;

    /// \brief Releases a granted trial of \a request that reached no backend server.
    virtual void releaseTrial(const Decisions::RequestIdentity &request) = 0;

    /// \brief Checks whether the backend server of \a call has ended and records a crash if so; calls \a done when this is known or cannot be determined soon.
    ///
    /// Returns a number for withdraw(), or 0 if \a done has already been called.
    virtual std::uint64_t handleLostCall(const LostCall &call, CheckCallback done) = 0;

    /// \brief Cancels the callback of \a number.
    virtual void withdraw(std::uint64_t number) = 0;

    /// \brief Clears the records of \a request, which a backend server answered completely and survived.
    virtual void handleSuccess(const Decisions::RequestIdentity &request) = 0;
};

} // namespace Verbena::Relay
