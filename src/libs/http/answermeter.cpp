#include "answermeter.h"

namespace Verbena::Http {

namespace {

// A chunk of one byte takes five more for its size and line ends, and a few for zeros before the size.
constexpr std::uint64_t otherBytesPerBodyByte = 8;

} // namespace

const char *nameOf(AnswerExcess excess)
{
    return excess == AnswerExcess::Body ? "body" : "other";
}

AnswerMeter::AnswerMeter(const AnswerLimits &limits)
    : m_limits(limits)
{
}

void AnswerMeter::addReceived(std::size_t bytes)
{
    m_receivedBytes += bytes;
}

void AnswerMeter::addBody(std::size_t bytes)
{
    m_bodyBytes += bytes;
}

std::uint64_t AnswerMeter::bodyBytes() const
{
    return m_bodyBytes;
}

std::optional<AnswerExcess> AnswerMeter::excess() const
{
    if (m_limits.bodyBytes.has_value() && m_bodyBytes > *m_limits.bodyBytes) {
        return AnswerExcess::Body;
    }
    if (m_receivedBytes > m_bodyBytes + m_limits.otherBytes + otherBytesPerBodyByte * m_bodyBytes) {
        return AnswerExcess::Other;
    }
    return std::nullopt;
}

} // namespace Verbena::Http
