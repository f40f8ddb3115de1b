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

    /// \brief Returns the number of bytes that have been written but not yet sent to the caller.
    virtual std::size_t bufferedBytes() const = 0;
};

} // namespace Verbena::Relay
