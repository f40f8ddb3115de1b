#pragma once

#include <core/result.h>
#include <core/time.h>
#include <decisions/relay/promptoutline.h>
#include <decisions/relay/serverload.h>
#include <http/messagereader.h>
#include <http/outgoingmessage.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief A caller's request as the relay has parsed it.
struct RelayQuery
{
    std::string attemptId; ///< Caller's id of this request; empty if there is none.
    std::string host;
    std::string path; ///< Path without the query.
    std::string key; ///< Caller's key; empty if there is none.
    std::optional<Core::TimePoint> deadline; ///< Time until which the caller waits.
    std::optional<Decisions::PromptOutline> prompt;
    std::optional<std::uint64_t> tokens; ///< Tokens of the prompt plus the maximum of the answer, if the caller states them.
    std::string lastEventId; ///< Event after which the caller resumes a stream; empty if it does not.
    std::string resumedAttemptId; ///< Attempt that brought the first event of the resumed stream; empty if the caller names none.
};

/// \brief What the relay adds to a caller's request for the backend server.
struct CallContext
{
    std::string serverId; ///< Backend server that the request is for; any other must refuse it.
    std::string organisation; ///< Organisation of the caller; empty if the request needs no key.
    std::chrono::milliseconds timeLeft{0}; ///< Time that the backend server has to answer.
    std::optional<std::uint64_t> weightsVersion; ///< Required version; a backend server with another one must refuse the request.
    std::string cacheScope; ///< Scope within which prompts share cached parts; empty for a plain service.
    std::string cacheSource; ///< Address to fetch missing parts from; empty for none.
    std::string cacheStore; ///< Address to save parts at; empty for none.
    std::string lastEventId;
    std::uint32_t priority = 5; ///< Priority from 0 (first) to 9 (last).
    bool isConnectionKept = false; ///< Whether the connection may serve further calls afterwards.
};

/// \brief The parts of a backend server's answer that are meant for the relay.
struct AnswerMarks
{
    std::string attemptId;
    std::string serverId;
    bool isNotRun = false; ///< Whether the backend server proved that it did not run the request.
    bool isMisdirected = false; ///< Whether the request reached another backend server or other weights than intended.
    bool hasReceipt = false; ///< Whether the answer has a receipt, which proves that a backend server gave it.
    std::optional<std::chrono::milliseconds> rest; ///< Time for which the backend server, which refused the request, wants none from this router.
    bool isLeaving = false; ///< Whether the backend server says that it takes no new requests and will end.
    std::optional<std::uint64_t> weightsVersion;
    std::optional<double> limit; ///< Requests per second that the backend server takes from all routers together; nothing if it names no limit.
    std::optional<Decisions::ServerLoad> load; ///< Load of the backend server; nothing if it reports none that can be understood.
};

/// \brief An answer by the relay itself to a request that got none from a backend server.
struct Refusal
{
    int status = 503;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter; ///< Time after which the caller should retry.
};

/// \brief Maps requests, answers and refusals to the HTTP fields that callers and backend servers use.
class RelayProtocol
{
public:
    virtual ~RelayProtocol() = default;

    /// \brief Parses the head of a caller's request that arrived at \a now. Errors: InvalidArgument.
    virtual Core::Result<RelayQuery> readQuery(const Http::MessageHead &head, Core::TimePoint now) const = 0;

    /// \brief Returns the fields of the call to a backend server: those of \a head that may be forwarded, and \a context.
    virtual std::vector<Http::HttpField> callFields(const Http::MessageHead &head, const CallContext &context) const = 0;

    /// \brief Parses the head of a backend server's answer.
    virtual AnswerMarks readAnswer(const Http::MessageHead &head) const = 0;

    /// \brief Returns the fields of a backend server's answer that are forwarded to the caller.
    virtual std::vector<Http::HttpField> answerFields(const Http::MessageHead &head) const = 0;

    /// \brief Returns the fields of an answer by the relay itself.
    virtual std::vector<Http::HttpField> refusalFields(const Refusal &refusal, const std::string &attemptId) const = 0;
};

/// \brief Returns the call to a backend server in \a protocol: the forwarded fields of \a head, \a context and \a body.
Http::OutgoingMessage callMessage(const RelayProtocol &protocol, const Http::MessageHead &head, Http::SharedBody body, const CallContext &context);

} // namespace Verbena::Relay
