#pragma once

#include <decisions/relay/fleetchoice.h>
#include <decisions/relay/requestidentity.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace Verbena::Relay {

/// \brief A call whose connection ended before its answer did.
struct LostCall
{
    Decisions::RequestIdentity request;
    std::string attemptId; ///< For the log.
    std::string organisation;
    std::string serverId;
    std::uint64_t incarnation = 0;
    std::string address;
};

/// \brief Whether a suspected request may run once, as the only one.
struct TrialVerdict
{
    bool isGranted = false;
    std::chrono::milliseconds retryAfter{0}; ///< Until another one may, if it is not granted.
};

/// \brief Whoever knows, for all routers together, which requests crash the backend servers that run them.
class CrashControl
{
public:
    using TrialCallback = std::function<void(const TrialVerdict &verdict)>;
    using CheckCallback = std::function<void()>;

    virtual ~CrashControl() = default;

    /// \brief Whether anything is recorded of any request; while nothing is, nobody needs an identity.
    virtual bool hasRecords() const = 0;

    /// \brief Whether \a request runs as a trial only.
    virtual bool isSuspected(const Decisions::RequestIdentity &request) const = 0;

    /// \brief Asks for a trial of \a request. Returns a number by which the question can be withdrawn, 0 if it is answered already.
    virtual std::uint64_t claimTrial(const Decisions::RequestIdentity &request, TrialCallback done) = 0;

    /// \brief A trial that was granted reached no backend server.
    virtual void releaseTrial(const Decisions::RequestIdentity &request) = 0;

    /// \brief Finds out whether the backend server of \a call is gone, and then records it; calls \a done once it is known or cannot be soon.
    ///
    /// Returns a number by which \a done can be withdrawn, 0 if it was called already.
    virtual std::uint64_t handleLostCall(const LostCall &call, CheckCallback done) = 0;

    /// \brief Calls nobody back for \a number any more.
    virtual void withdraw(std::uint64_t number) = 0;

    /// \brief A backend server answered \a request whole and is well.
    virtual void handleSuccess(const Decisions::RequestIdentity &request) = 0;
};

} // namespace Verbena::Relay
