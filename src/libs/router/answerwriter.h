#pragma once

#include <decisions/attempts/attemptaction.h>

#include <verbena.pb.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Router {

/// \brief The error that the caller of a failed request receives.
struct RequestFailure
{
    int status = 500; ///< HTTP status, used if none has been sent yet.
    std::string type; ///< Error type of the OpenAI API.
    std::string code; ///< Machine-readable error code.
    std::string message; ///< Full sentence for the caller.
    Decisions::RunState run = Decisions::RunState::NotRun; ///< Whether the request has been run.
    std::optional<std::chrono::microseconds> retryAfter; ///< Suggested delay before a retry.
};

/// \brief Returns the value of the header field Verbena-Run for \a run.
const char *runStateName(Decisions::RunState run);

/// \brief Writes the answer to one request in the format that its caller asked for.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    /// \brief Writes or stores the next part of the answer.
    virtual void deliver(std::string_view text) = 0;

    /// \brief Discards what was stored, as a new attempt starts over; called only for requests that are not resumable.
    virtual void restart() = 0;

    /// \brief Completes the answer.
    virtual void finish(const verbena::wire::Ended &ended) = 0;

    /// \brief Answers with \a failure, or ends a stream that has begun with it.
    virtual void fail(const RequestFailure &failure) = 0;

    /// \brief Returns the number of bytes that are buffered for the caller.
    virtual std::size_t bufferedBytes() const = 0;

    /// \brief Returns the text delivered so far; empty if it is not stored.
    virtual const std::string &deliveredText() const = 0;
};

} // namespace Verbena::Router
