#pragma once

#include <core/result.h>
#include <core/time.h>
#include <decisions/relay/promptoutline.h>
#include <http/messagereader.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief A caller's request as the relay understands it.
struct RelayQuery
{
    std::string attemptId; ///< The caller's own name for this request; empty if it gave none.
    std::string host;
    std::string path; ///< Without the query.
    std::string key; ///< Empty if the caller showed none.
    std::optional<Core::TimePoint> deadline; ///< Until then the caller waits.
    std::optional<Decisions::PromptOutline> prompt;
    std::optional<std::uint64_t> tokens; ///< Of the prompt and, at most, of the answer, if the caller says them.
    std::string lastEventId; ///< The caller goes on with a stream after this event.
};

/// \brief What goes to a backend server beside the caller's own words.
struct CallContext
{
    std::string serverId; ///< Any other backend server must refuse the request.
    std::string organisation; ///< Empty if the request needs no key.
    std::chrono::milliseconds timeLeft{0};
    std::optional<std::uint64_t> weightsVersion; ///< Another version must refuse the request.
    std::string cacheScope; ///< Prompts of different scopes share no cached part; empty for a plain service.
    std::string cacheSource; ///< Address to fetch missing parts from; empty for none.
    std::string cacheStore; ///< Address to save parts at; empty for none.
    std::string lastEventId;
    std::uint32_t priority = 5; ///< 0 goes first, 9 last.
};

/// \brief What a backend server's answer says beside its content.
struct AnswerMarks
{
    std::string attemptId;
    std::string serverId;
    bool isNotRun = false; ///< The backend server proved that it did not run the request.
    bool isMisdirected = false; ///< It is another backend server, or has other weights.
    bool hasReceipt = false;
    std::optional<std::uint64_t> weightsVersion;
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
};

/// \brief What a caller is told of a request that got no answer of a backend server.
struct Refusal
{
    int status = 503;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter; ///< When to come back.
};

/// \brief The words in which callers, the relay and backend servers speak over HTTP.
class RelayProtocol
{
public:
    virtual ~RelayProtocol() = default;

    /// \brief Reads the head of a caller's request that came at \a now. Errors: InvalidArgument.
    virtual Core::Result<RelayQuery> readQuery(const Http::MessageHead &head, Core::TimePoint now) const = 0;

    /// \brief The fields of the call to a backend server: what may be passed on of \a head, with \a context.
    virtual std::vector<Http::HttpField> callFields(const Http::MessageHead &head, const CallContext &context) const = 0;

    /// \brief Reads the head of a backend server's answer.
    virtual AnswerMarks readAnswer(const Http::MessageHead &head) const = 0;

    /// \brief The fields of a backend server's answer that go on to the caller.
    virtual std::vector<Http::HttpField> answerFields(const Http::MessageHead &head) const = 0;

    /// \brief The fields of an answer of the relay's own.
    virtual std::vector<Http::HttpField> refusalFields(const Refusal &refusal, const std::string &attemptId) const = 0;
};

/// \brief The whole call to a backend server, as \a protocol says it: what may be passed on of \a head, \a body and \a context.
std::string callText(const RelayProtocol &protocol, const Http::MessageHead &head, const std::string &body, const CallContext &context);

} // namespace Verbena::Relay
