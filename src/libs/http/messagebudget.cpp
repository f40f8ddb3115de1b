#include "messagebudget.h"

namespace Verbena::Http {

namespace {

// Start line, header fields, interim heads and the trailer may each take as much as a head.
constexpr std::uint64_t headParts = 4;

// A size of eight digits, the two line ends of the chunk, and some.
constexpr std::uint64_t bytesPerChunk = 16;

// Servers send few: one that lets the body come, hints, and signs of life during long work.
constexpr std::uint32_t maximumInterimHeads = 16;

} // namespace

MessageBudget::MessageBudget(std::uint32_t headerBytes)
    : m_headerBytes(headerBytes)
{
}

void MessageBudget::addParsed(std::size_t bytes)
{
    m_parsedBytes += bytes;
}

void MessageBudget::addBody(std::size_t bytes)
{
    m_bodyBytes += bytes;
}

void MessageBudget::addChunk()
{
    ++m_chunks;
}

void MessageBudget::addInterimHead()
{
    ++m_interimHeads;
}

bool MessageBudget::hasBegun() const
{
    return m_parsedBytes > 0;
}

bool MessageBudget::isPartTooLong(std::size_t heldBytes) const
{
    return heldBytes > m_headerBytes;
}

// The body allows for as much again, as extensions may sign each chunk of it.
bool MessageBudget::isFramingTooLarge(std::size_t heldBytes) const
{
    const std::uint64_t framing = m_parsedBytes + heldBytes - m_bodyBytes;
    return framing > headParts * m_headerBytes + bytesPerChunk * m_chunks + m_bodyBytes;
}

bool MessageBudget::hasTooManyInterimHeads() const
{
    return m_interimHeads > maximumInterimHeads;
}

} // namespace Verbena::Http
