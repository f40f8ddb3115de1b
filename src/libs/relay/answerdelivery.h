#pragma once

#include <core/time.h>

#include <cstddef>

namespace Verbena::Relay {

/// \brief Follows how far a caller has read its answers.
class AnswerDelivery
{
public:
    void beginAnswer();

    /// \brief Notes that an answer was written whole. Its delivery is pending unless little of it was unacknowledged at the last recordUnacknowledged().
    void finishAnswer();

    /// \brief Returns whether the last answer was written whole and its delivery has not ended.
    bool isPending() const;

    /// \brief Ends a delivery that is pending if nothing was unacknowledged at the last recordUnacknowledged(); returns whether it did.
    bool endIfRead();

    /// \brief Notes at \a now that the caller reads, or that something was written to a caller that had read everything.
    void recordRead(Core::TimePoint now);

    /// \brief Notes at \a now that the caller's host has not acknowledged \a bytes.
    void recordUnacknowledged(std::size_t bytes, Core::TimePoint now);

    /// \brief Returns when the caller last read something, or when the first bytes that it has not read were written.
    Core::TimePoint lastReadAt() const;

private:
    std::size_t m_unacknowledgedBytes = 0; ///< At the last recordUnacknowledged().
    Core::TimePoint m_lastReadAt;
    bool m_isPending = false;
};

} // namespace Verbena::Relay
