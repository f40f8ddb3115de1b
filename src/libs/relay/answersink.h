#pragma once

#include <http/httpexchange.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Verbena::Relay {

/// \brief Receives the answer to one request: whole through respond(), or in parts between beginAnswer() and endAnswer().
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// \brief Sends a whole answer.
    virtual void respond(int status, const std::vector<Http::HttpField> &fields, std::string_view body) = 0;

    /// \brief Begins an answer of \a length bytes, or of unknown length.
    virtual void beginAnswer(int status, const std::vector<Http::HttpField> &fields, std::optional<std::uint64_t> length) = 0;

    /// \brief Sends the next bytes of the body.
    virtual void write(std::string_view data) = 0;

    /// \brief Ends the answer as complete.
    virtual void endAnswer() = 0;

    /// \brief Ends the answer so that the caller can tell that it is incomplete.
    virtual void abortAnswer() = 0;

    /// \brief Notes that \a bytes of the answer are held until more of it has been received.
    virtual void setPendingBytes(std::size_t bytes) = 0;

    /// \brief Returns how many bytes of an answer may be held until it is complete; beyond, it is forwarded as it arrives.
    virtual std::size_t bufferBound() const = 0;

    /// \brief Returns how long an incomplete event may be that is held until it is complete; beyond, its answer is given up.
    virtual std::uint64_t eventBound() const = 0;

    /// \brief Returns whether so much waits to be sent to the caller that reading the answer has to pause until it has been sent.
    virtual bool isFull() const = 0;
};

} // namespace Verbena::Relay
