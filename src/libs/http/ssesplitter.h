#pragma once

#include "sseeventscanner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Http {

/// \brief Splits a stream of server-sent events at event boundaries without changing the text of the events.
class SseSplitter
{
public:
    /// \brief Adds \a bytes to the stream and returns the events that are complete now, unchanged.
    ///
    /// Events whose id is not greater than lastId() were already returned and are skipped.
    std::string feed(std::string_view bytes);

    /// \brief Removes and returns the received part of an incomplete event, for a stream that has ended.
    std::string takePending();

    /// \brief Discards an incomplete event, for a stream that continues on another connection.
    void discardPending();

    /// \brief Returns whether the bytes added since the last discardPending() end inside an event.
    bool isInsideEvent() const;

    /// \brief Returns the number of received bytes of an incomplete event.
    std::size_t pendingBytes() const;

    /// \brief Returns the memory that is held for an incomplete event.
    std::size_t heldBytes() const;

    /// \brief Returns whether an event has ended in the bytes added since the last discardPending().
    bool hasEvent() const;

    /// \brief Returns the number of bytes of all returned events.
    std::uint64_t returnedBytes() const;

    /// \brief Returns the number of bytes of the events that were skipped since the last discardPending().
    std::uint64_t skippedBytes() const;

    /// \brief Returns the id of the last returned event that has one.
    std::optional<std::uint64_t> lastId() const;

private:
    bool isNew(std::string_view event);

    SseEventScanner m_scanner;
    std::string m_pending; ///< The received part of an incomplete event.
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_returnedBytes = 0;
    std::uint64_t m_skippedBytes = 0;
};

} // namespace Verbena::Http
