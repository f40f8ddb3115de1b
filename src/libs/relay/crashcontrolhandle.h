#pragma once

#include "crashcontrol.h"

#include <functional>
#include <optional>

namespace Verbena::Relay {

/// \brief What one request has to do with crashes: whether it may go to a backend server, and what becomes of it there.
class CrashControlHandle
{
public:
    /// \brief \a control may be nothing; \a identity is asked for once it is needed.
    CrashControlHandle(CrashControl *control, std::function<Decisions::RequestIdentity()> identity);
    ~CrashControlHandle();

    CrashControlHandle(const CrashControlHandle &) = delete;
    CrashControlHandle &operator=(const CrashControlHandle &) = delete;

    /// \brief Whether the request may go only as a trial.
    bool isSuspected();

    /// \brief Whether it may go nowhere without another trial after \a arrivals at backend servers.
    bool isTrialRequired(std::uint32_t arrivals);

    /// \brief Asks whether the request, after \a arrivals, may go as a trial, which is one more arrival; \a done may be called at once.
    void claimTrial(std::uint32_t arrivals, CrashControl::TrialCallback done);

    /// \brief The call was lost; calls \a done once it is known whether its server ended. \a done may be called at once.
    void handleLostCall(LostCall call, CrashControl::CheckCallback done);

    /// \brief The request was answered whole, with success or not.
    void handleAnswer(bool isSuccess);

    /// \brief The request is over after \a arrivals; a trial that reached no backend server goes back.
    void end(std::uint32_t arrivals);

    /// \brief The digest of the request.
    const Decisions::RequestIdentity &identity();

private:
    CrashControl *m_control;
    std::function<Decisions::RequestIdentity()> m_makeIdentity;
    std::optional<Decisions::RequestIdentity> m_identity;
    std::uint64_t m_pendingNumber = 0; ///< Of the open question.
    std::optional<std::uint32_t> m_trialArrivals; ///< Arrivals before the trial that was granted last.
};

} // namespace Verbena::Relay
