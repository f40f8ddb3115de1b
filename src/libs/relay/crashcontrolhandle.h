#pragma once

#include "crashcontrol.h"

#include <functional>
#include <optional>
#include <vector>

namespace Verbena::Relay {

/// \brief Connects one request to the crash control: decides whether the request needs a trial, and reports its outcome.
class CrashControlHandle
{
public:
    using Subjects = std::vector<Decisions::CrashSubject>;

    /// \brief \a control may be null; \a makeSubjects returns the crashSubjects() of the request and is called when they are first needed.
    CrashControlHandle(CrashControl *control, std::function<Subjects()> makeSubjects);
    ~CrashControlHandle();

    CrashControlHandle(const CrashControlHandle &) = delete;
    CrashControlHandle &operator=(const CrashControlHandle &) = delete;

    /// \brief Returns whether the request may run only as a trial.
    bool isSuspected();

    /// \brief Returns whether the request needs another trial before it is sent, after \a arrivals at backend servers.
    bool isTrialRequired(std::uint32_t arrivals);

    /// \brief Asks for a trial of the request after \a arrivals; the trial is one more arrival. \a done may be called before this returns.
    void claimTrial(std::uint32_t arrivals, CrashControl::TrialCallback done);

    /// \brief Reports the lost \a call, whose subjects are set here; \a hasEvent: an event of its answer was received, so no part of its prompt keeps servers
    /// from beginning one. Calls \a done when it is known whether its server ended, possibly before this returns.
    void handleLostCall(LostCall call, bool hasEvent, CrashControl::CheckCallback done);

    /// \brief Records that the first event of a stream was received.
    void handleFirstEvent();

    /// \brief Records that the request got a complete answer, and whether that was a success.
    void handleAnswer(bool isSuccess);

    /// \brief Ends the request after \a arrivals; releases a trial that reached no backend server.
    void end(std::uint32_t arrivals);

    /// \brief Returns the subject of the whole request.
    const Decisions::CrashSubject &request();

    /// \brief Returns the index of the shared part of the prompt that \a subject stands for; nothing for the whole request.
    std::optional<std::size_t> partIndex(const Decisions::CrashSubject &subject);

private:
    const Subjects &subjects();
    Subjects suspects();

    CrashControl *m_control;
    std::function<Subjects()> m_makeSubjects;
    Subjects m_subjects; ///< Empty until they are needed.
    std::uint64_t m_pendingNumber = 0; ///< Number of the pending callback, for withdraw(); 0 if there is none.
    std::optional<std::uint32_t> m_trialArrivals; ///< Number of arrivals before the last granted trial.
    Decisions::CrashSubject m_trialSubject; ///< What the last granted trial is counted for.
};

} // namespace Verbena::Relay
