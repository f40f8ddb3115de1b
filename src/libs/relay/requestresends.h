#pragma once

#include "relaycontext.h"
#include "requestfacts.h"

#include <core/time.h>
#include <decisions/relay/attemptpolicy.h>
#include <decisions/relay/resendbudget.h>

#include <cstdint>
#include <functional>

namespace Verbena::Relay {

/// \brief What is left for sending one request again: its time, and its part of this router's resend budget.
class RequestResends
{
public:
    /// \brief Called once, after claim() has returned AwaitResend, with whether the request may be sent again.
    using Callback = std::function<void(bool isGranted)>;

    /// \brief \a facts outlive this.
    RequestResends(const RelayContext &context, const RequestFacts &facts);
    ~RequestResends();

    RequestResends(const RequestResends &) = delete;
    RequestResends &operator=(const RequestResends &) = delete;

    /// \brief Returns the latest time at which it is worthwhile to send the request again.
    Core::TimePoint latestSend() const;

    /// \brief Returns whether the request can be expected to end before the process does; \a isAnswerBegun is whether the caller has a part of the answer.
    bool isExpectedToEnd(bool isAnswerBegun) const;

    /// \brief Returns whether the request, if it is sent again now, can be expected to end before its deadline and before the process does.
    bool hasTime(bool isAnswerBegun) const;

    /// \brief Returns what the budget has for the request.
    Decisions::ResendBalance balance(bool isAnswerBegun) const;

    /// \brief Consumes one resend. Returns false if none is available.
    bool tryConsume(bool isAnswerBegun);

    /// \brief Claims a resend for a request in \a state after \a failure. Returns SendAgain, AwaitResend if \a done will be called, or what to do without one.
    Decisions::AttemptAction claim(const Decisions::AttemptState &state, Decisions::CallFailure failure, Callback done);

    /// \brief Stops waiting for a resend without calling back.
    void withdraw();

private:
    bool wait(bool isAnswerBegun, Core::TimePoint earliest, Callback done);

    const RelayContext &m_context;
    const RequestFacts &m_facts;
    std::uint64_t m_number = 0; ///< Number in the resend queue; 0 if the request does not wait there.
};

} // namespace Verbena::Relay
