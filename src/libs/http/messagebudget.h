#pragma once

#include <cstddef>
#include <cstdint>

namespace Verbena::Http {

/// \brief Counts all that arrives of one message, from its first byte to its last, and bounds what is no body.
///
/// What is no body are heads, the lines between chunks with their extensions, and trailers. Body and chunks that have come allow for more of it, so that a
/// long stream of small chunks is proper and the same chunks with long extensions are not.
class MessageBudget
{
public:
    /// \brief \a headerBytes is the maximum size of a head.
    explicit MessageBudget(std::uint32_t headerBytes);

    /// \brief Counts \a bytes that have been parsed, whatever they belong to.
    void addParsed(std::size_t bytes);

    /// \brief Counts \a bytes of the body, which are also counted as parsed.
    void addBody(std::size_t bytes);

    /// \brief Counts a chunk of the body.
    void addChunk();

    /// \brief Counts an interim head.
    void addInterimHead();

    /// \brief Returns whether anything of the message has been parsed.
    bool hasBegun() const;

    /// \brief Returns whether \a heldBytes that cannot be parsed before more has come are more than any part may have.
    bool isPartTooLong(std::size_t heldBytes) const;

    /// \brief Returns whether what is no body, with \a heldBytes that are not parsed yet, is more than it may be.
    bool isFramingTooLarge(std::size_t heldBytes) const;

    /// \brief Returns whether more interim heads have come than a message may have.
    bool hasTooManyInterimHeads() const;

private:
    std::uint32_t m_headerBytes;
    std::uint64_t m_parsedBytes = 0;
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_chunks = 0;
    std::uint32_t m_interimHeads = 0;
};

} // namespace Verbena::Http
