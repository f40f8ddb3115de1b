#pragma once

#include "crashcontrol.h"

#include <functional>
#include <optional>

namespace Verbena::Relay {

/// \brief Connects one request to the crash control: decides whether the request needs a trial, and reports its outcome.
class CrashControlHandle
{
public:
    /// \brief \a control may be null; \a identity is called when the identity is first needed.
    CrashControlHandle(CrashControl *control, std::function<Decisions::RequestIdentity()> identity);
    ~CrashControlHandle();

    CrashControlHandle(const CrashControlHandle &) = delete;
    CrashControlHandle &operator=(const CrashControlHandle &) = delete;

    /// \brief Returns whether the request may run only as a trial.
    bool isSuspected();

    /// \brief Returns whether the request needs another trial before it is sent, after \a arrivals at backend servers.
    bool isTrialRequired(std::uint32_t arrivals);

    /// \brief Asks for a trial of the request after \a arrivals; the trial is one more arrival. \a done may be called before this returns.
    void claimTrial(std::uint32_t arrivals, CrashControl::TrialCallback done);

    /// \brief Reports the lost \a call; calls \a done when it is known whether its server ended, possibly before this returns.
    void handleLostCall(LostCall call, CrashControl::CheckCallback done);

    /// \brief Records that the request got a complete answer, and whether that was a success.
    void handleAnswer(bool isSuccess);

    /// \brief Ends the request after \a arrivals; releases a trial that reached no backend server.
    void end(std::uint32_t arrivals);

    /// \brief Returns the digest that identifies the request.
    const Decisions::RequestIdentity &identity();

private:
    CrashControl *m_control;
    std::function<Decisions::RequestIdentity()> m_makeIdentity;
    std::optional<Decisions::RequestIdentity> m_identity;
    std::uint64_t m_pendingNumber = 0; ///< Number of the pending callback, for withdraw(); 0 if there is none.
    std::optional<std::uint32_t> m_trialArrivals; ///< Number of arrivals before the last granted trial.
};

} // namespace Verbena::Relay
