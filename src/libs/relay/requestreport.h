#pragma once

#include "answerforwarder.h"

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

/// \brief Identifies the request of a log line and its backend server.
struct RequestLabel
{
    std::string attemptId;
    std::string service;
    std::string serverId; ///< Backend server of the request; empty if it was sent to none.
    std::chrono::milliseconds after{0}; ///< Time since the request's arrival.
};

/// \brief A call without a usable answer, and the action taken for the request.
struct FailureReport
{
    Decisions::CallFailure failure;
    std::string_view reason;
    Decisions::AttemptState attempts;
    std::uint32_t arrivals = 0;
    std::string identity; ///< Digest of the request, if the call was lost.
    std::string parts; ///< Ids of the first parts of the prompt that other requests may share, if the call was lost.
    Decisions::ResendBalance balance;
    Decisions::AttemptAction action;
    AnswerEnding ending;
};

/// \brief Returns the ids of the first parts of \a prompt that other requests may share, for logs; \a prompt may be null.
std::string sharedPartsText(const Decisions::PromptOutline *prompt);

/// \brief Logs a failed call.
void reportFailure(const RequestLabel &label, const FailureReport &report);

/// \brief A request that was not sent, or not sent again, because backend servers ended while they ran it or a part of its prompt.
struct BarredReport
{
    std::string identity; ///< Text of the suspect.
    std::string part; ///< Id of the suspected part; empty if the whole request is suspected.
    std::size_t crashes = 0; ///< Crashes of the suspect.
    std::string organisation;
    std::string_view outcome;
    std::uint32_t arrivals = 0;
};

/// \brief Logs that a request was barred.
void reportBarred(const RequestLabel &label, const BarredReport &report);

/// \brief Logs that the backend server \a by answered instead of the one that the request was sent to.
void reportReplaced(const RequestLabel &label, const std::string &by);

/// \brief Logs that an answer of its backend server said that the server leaves.
void reportLeaving(const RequestLabel &label);

/// \brief Logs that its backend server refused a request and asked for \a rest.
void reportRest(const RequestLabel &label, std::chrono::milliseconds rest);

/// \brief Logs that the backend server \a serverId named \a limit, or no longer names one; \a toldBy is "server" or the address of the router that said so.
void reportLimit(const std::string &serverId, const std::optional<double> &limit, const std::string &toldBy);

/// \brief Logs that a stream is resumed on the backend server \a to after event \a lastId.
void reportMove(const RequestLabel &label, const std::string &to, std::uint64_t lastId);

/// \brief What a request waits for.
enum class WaitingFor {
    Server, ///< It had not been sent, or waited to be sent again.
    Acknowledgement, ///< The host of its backend server had acknowledged nothing of it.
    SilentEngine, ///< The agent beside its engine had been silent for some reports.
    Begin, ///< Its backend server had not begun to answer.
    Rest, ///< The rest of an answer that had begun.
};

/// \brief The state of a request that waits for its answer or the rest of it.
struct WaitReport
{
    WaitingFor waitingFor = WaitingFor::Server;
    bool isBegun = false; ///< Whether the caller had received a part of its answer.
    std::uint32_t sends = 0;
    std::optional<std::chrono::milliseconds> sentAgo; ///< Time since it was sent to its backend server.
    std::optional<std::chrono::milliseconds> reportAge; ///< Time since the agent beside that server reported.
};

/// \brief Logs that the caller of a request left and counts it in \a metrics.
void reportLeft(const RequestLabel &label, const WaitReport &report, Observe::Metrics &metrics);

/// \brief Logs that a request that waited for a silent engine is sent to the engine \a to.
void reportFailover(const RequestLabel &label, const std::string &to, const WaitReport &report);

/// \brief The outcome of a request with the data that explain it.
struct RequestReport
{
    int status = 0;
    std::string_view outcome;
    Observe::TenantLabel label;
    std::string attemptId;
    std::string service;
    std::string resumedAttemptId; ///< Attempt that began the stream that the request resumes; empty if it names none.
    const Decisions::FleetChoice *choice = nullptr; ///< Last choice of a backend server; null if there was none.
    std::uint32_t sends = 0;
    Core::TimePoint arrival{};
    std::chrono::milliseconds firstPartAfter{-1}; ///< Time from arrival to the first part of an answer; negative if none came.
    std::optional<std::chrono::milliseconds> longestGap = {}; ///< Longest pause between two parts of the answer.
    std::chrono::milliseconds total{0};
    std::uint64_t configuration = 0; ///< Version of the configuration; 0 if there was none.
    AnswerEnding ending = {}; ///< Of the last answer.
    std::optional<std::chrono::milliseconds> configurationAge = {}; ///< Age of the configuration at the end; a change may have been missing for so long.
};

/// \brief Logs the end of a request and counts it in \a metrics.
void reportEnd(const RequestReport &report, Observe::Metrics &metrics);

} // namespace Verbena::Relay
