#pragma once

#include "answerhead.h"

#include <http/messagereader.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief Turns the answers to one caller's requests, one at a time, into the bytes that are sent.
class AnswerEncoder
{
public:
    /// \brief Begins the answer to the request with \a head, which is empty if the request was not read.
    void beginAnswer(const Http::MessageHead &head);

    /// \brief Returns whether the caller recognises the end of an answer of \a length only by the end of its connection.
    bool endsByClose(std::optional<std::uint64_t> length) const;

    /// \brief Returns a whole answer.
    std::string whole(AnswerHead head, std::string_view body);

    /// \brief Returns the head of an answer of \a length bytes, or of unknown length.
    std::string head(AnswerHead head, std::optional<std::uint64_t> length);

    /// \brief Returns \a data, which must not be empty, as the next chunk of a body that comes in chunks.
    std::string chunk(std::string_view data);

    /// \brief Returns what ends the answer.
    std::string end();

    /// \brief Returns whether the head of the answer was returned.
    bool isHeadBegun() const;

    /// \brief Returns whether the caller gets a body.
    bool hasBody() const;

    /// \brief Returns whether the answer's body comes in chunks and has not ended.
    bool isChunked() const;

    /// \brief Returns whether there are bytes that may be sent now and change no answer.
    bool canProbe() const;

    /// \brief Returns such bytes: an interim answer, or, within a body that comes in chunks, a leading zero of the next chunk's size.
    std::string_view takeProbe();

    /// \brief Returns whether a zero of takeProbe() is the last that was sent: some clients take it, before the end of the connection, for the end of the body.
    bool isProbeOpen() const;

private:
    bool m_isChunked = false;
    bool m_isVersion11 = true;
    bool m_isHead = false; ///< Whether the request's method is HEAD, so that its answer has no body.
    bool m_isHeadBegun = false;
    bool m_isProbeOpen = false;
};

} // namespace Verbena::Relay
