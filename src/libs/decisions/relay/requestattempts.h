#pragma once

#include "attemptpolicy.h"
#include "fleetchoice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief The calls that were made for one request: which backend servers they went to, and what each counts for.
class RequestAttempts
{
public:
    /// \brief Sets what \a route allows.
    void setRoute(const RelayRoute &route);

    /// \brief Records that a call to the backend server \a serverId is made.
    void recordSend(const std::string &serverId);

    /// \brief Records that the last call ended with \a failure; \a hasSent is whether any of the request was sent.
    void recordEnd(CallFailure failure, bool hasSent);

    /// \brief Records that this router itself ends the last call with \a failure, although it might have gone on.
    void recordLeave(CallFailure failure, bool hasSent);

    /// \brief Records that the backend server of the last call is proved to have ended with its run.
    void recordServerEnd();

    /// \brief Returns the state for a decision; \a isAnswerBegun is whether the caller has received a part of the answer.
    AttemptState state(bool isAnswerBegun) const;

    /// \brief Returns the state() after the last call if that ends with \a failure.
    AttemptState stateAfter(CallFailure failure, bool isAnswerBegun) const;

    /// \brief Returns the number of calls with any outcome.
    std::uint32_t sends() const;

    /// \brief Returns the number of ended calls that may have reached a backend server, whether they ran or not.
    std::uint32_t arrivals() const;

    /// \brief Returns whether nothing of the request has been sent in any of the ended calls.
    bool isUnsent() const;

    /// \brief Returns whether any of the ended calls may have run the request.
    bool mayHaveRun() const;

    /// \brief Limits \a query to the backend servers that a request in \a state may be sent to.
    void limit(FleetQuery &query, const AttemptState &state) const;

private:
    void count(AttemptState &state, CallFailure failure) const;

    AttemptState m_state; ///< Without whether an answer has begun.
    std::uint32_t m_arrivals = 0;
    std::vector<std::string> m_servers; ///< Ids of the backend servers that calls were made to, in order.
    std::vector<std::string> m_ranAt; ///< Ids of those that may have run the request in an ended call.
    std::string m_left; ///< Id of the one that this router last took the request off; empty if there is none.
};

} // namespace Verbena::Decisions
