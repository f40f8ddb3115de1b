#pragma once

#include <decisions/relay/attemptpolicy.h>
#include <decisions/relay/fleetchoice.h>
#include <decisions/relay/resendbudget.h>
#include <observe/metrics.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief Which request a line of the log is about, and where it was.
struct RequestLabel
{
    std::string attemptId;
    std::string service;
    std::string serverId; ///< Empty if it was sent to none.
    std::chrono::milliseconds after{0}; ///< Its arrival.
};

/// \brief A call that brought no answer, and what became of the request.
struct FailureReport
{
    Decisions::CallFailure failure;
    std::string_view reason;
    const Decisions::AttemptState &attempts;
    std::uint32_t arrivals = 0;
    std::string identity; ///< Of a lost call.
    Decisions::ResendBalance balance;
    Decisions::AttemptAction action;
};

/// \brief Logs a failed call.
void reportFailure(const RequestLabel &label, const FailureReport &report);

/// \brief Logs that a request of \a organisation with \a identity was not sent, after \a arrivals, as backend servers ended under it.
void reportBarred(const RequestLabel &label, const std::string &identity, const std::string &organisation, std::string_view outcome, std::uint32_t arrivals);

/// \brief Logs that the backend server \a by answered in place of the one that was asked.
void reportReplaced(const RequestLabel &label, const std::string &by);

/// \brief Logs that a stream goes on at \a to after event \a lastId.
void reportMove(const RequestLabel &label, const std::string &to, std::uint64_t lastId);

/// \brief Logs that the caller left, \a isBegun: with a part of its answer.
void reportLeft(const RequestLabel &label, bool isBegun);

/// \brief How a request ended, and what decided it.
struct RequestReport
{
    int status = 0;
    std::string_view outcome;
    Observe::TenantLabel label;
    std::string attemptId;
    std::string service;
    const Decisions::FleetChoice *choice = nullptr; ///< The last one; nothing if none was made.
    std::uint32_t sends = 0;
    Core::TimePoint arrival{};
    std::chrono::milliseconds firstPartAfter{-1}; ///< Below 0 if no part of an answer came.
    std::chrono::milliseconds total{0};
    std::uint64_t configuration = 0; ///< 0 if none was known.
    std::optional<std::chrono::milliseconds> configurationAge = {}; ///< At the end: an operator's change may have been unknown for so long.
};

/// \brief Logs the end of a request and counts it in \a metrics.
void reportEnd(const RequestReport &report, Observe::Metrics &metrics);

} // namespace Verbena::Relay
