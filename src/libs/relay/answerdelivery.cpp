#include "answerdelivery.h"

namespace Verbena::Relay {

namespace {

// The end of an answer that any caller's host takes at once, whether the caller reads or not.
constexpr std::size_t promptBytes = 4 * 1024;

} // namespace

void AnswerDelivery::beginAnswer()
{
    m_isPending = false;
}

void AnswerDelivery::finishAnswer()
{
    m_isPending = m_unacknowledgedBytes > promptBytes;
}

bool AnswerDelivery::isPending() const
{
    return m_isPending;
}

bool AnswerDelivery::endIfRead()
{
    if (!m_isPending || m_unacknowledgedBytes > 0) {
        return false;
    }
    m_isPending = false;
    return true;
}

void AnswerDelivery::recordRead(Core::TimePoint now)
{
    m_lastReadAt = now;
}

// The system has room for new bytes only now and then, while a caller reads all the time; what its host has not acknowledged tells more.
void AnswerDelivery::recordUnacknowledged(std::size_t bytes, Core::TimePoint now)
{
    if (bytes < m_unacknowledgedBytes) {
        m_lastReadAt = now;
    }
    m_unacknowledgedBytes = bytes;
}

Core::TimePoint AnswerDelivery::lastReadAt() const
{
    return m_lastReadAt;
}

} // namespace Verbena::Relay
