#pragma once

#include <http/httpexchange.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Verbena::Relay {

/// \brief Takes the answer to one request: whole by respond(), or in parts between beginAnswer() and endAnswer().
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual void respond(int status, const std::vector<Http::HttpField> &fields, std::string_view body) = 0;

    /// \brief Begins an answer of \a length bytes, or of a length that nobody knows yet.
    virtual void beginAnswer(int status, const std::vector<Http::HttpField> &fields, std::optional<std::uint64_t> length) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void endAnswer() = 0;

    /// \brief Ends the answer so that the caller sees that it is not whole.
    virtual void abortAnswer() = 0;

    /// \brief Bytes that the caller has not taken yet.
    virtual std::size_t bufferedBytes() const = 0;
};

} // namespace Verbena::Relay
