#pragma once

#include "httpcall.h"

#include <cstdint>
#include <optional>

namespace Verbena::Http {

/// \brief The limit that an answer exceeds.
enum class AnswerExcess {
    Body, ///< More body than the call takes.
    Other, ///< Too many bytes that belong to no body: heads, trailers and what frames a chunk.
};

/// \brief Returns the name of \a excess for logs.
const char *nameOf(AnswerExcess excess);

/// \brief Counts all bytes that arrive of the answer to one call, whatever part of it they belong to.
class AnswerMeter
{
public:
    explicit AnswerMeter(const AnswerLimits &limits);

    /// \brief Counts \a bytes that were read from the connection.
    void addReceived(std::size_t bytes);

    /// \brief Counts \a bytes of the body, which addReceived() counted too.
    void addBody(std::size_t bytes);

    /// \brief Returns the bytes of the body.
    std::uint64_t bodyBytes() const;

    /// \brief Returns the limit that is exceeded; nothing while the answer may go on. To be asked when all that was read has been handed on.
    std::optional<AnswerExcess> excess() const;

private:
    AnswerLimits m_limits;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_bodyBytes = 0;
};

} // namespace Verbena::Http
