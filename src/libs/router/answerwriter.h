#pragma once

#include <decisions/attempts/attemptaction.h>

#include <verbena.pb.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Router {

/// \brief Why a request gets no whole answer, as its caller is told.
struct RequestFailure
{
    int status = 500; ///< HTTP status, where none has been sent yet.
    std::string type; ///< In the words of the OpenAI interface.
    std::string code;
    std::string message; ///< A full sentence.
    Decisions::RunState run = Decisions::RunState::NotRun;
    std::optional<std::chrono::microseconds> retryAfter;
};

/// \brief The value of the header field Verbena-Run.
const char *runStateName(Decisions::RunState run);

/// \brief Writes the answer to one request in the form that its caller wants.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    /// \brief Takes the next part of the answer.
    virtual void deliver(std::string_view text) = 0;

    /// \brief A new attempt begins from the start; only for requests that cannot be resumed.
    virtual void restart() = 0;

    /// \brief The answer is whole.
    virtual void finish(const verbena::wire::Ended &ended) = 0;

    virtual void fail(const RequestFailure &failure) = 0;

    /// \brief Bytes that wait for the caller to take them.
    virtual std::size_t bufferedBytes() const = 0;

    /// \brief The text delivered so far; empty if it is not kept.
    virtual const std::string &deliveredText() const = 0;
};

} // namespace Verbena::Router
