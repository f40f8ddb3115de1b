#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace Verbena::Http {

/// \brief Finds the ends of the events in a stream of server-sent events.
///
/// A blank line ends an event. Lines end in LF, CR LF or CR.
class SseEventScanner
{
public:
    /// \brief Scans \a bytes, which follow those scanned before, up to the next end of an event.
    ///
    /// Returns the number of bytes up to and including that end, or nothing if no event ends in \a bytes; then all of them were scanned.
    std::optional<std::size_t> findEventEnd(std::string_view bytes);

    /// \brief Scans all of \a bytes, which follow those scanned before.
    void skip(std::string_view bytes);

    /// \brief Returns whether the bytes scanned so far end inside an event.
    bool isInsideEvent() const;

    /// \brief Returns the number of scanned bytes since the end of the last event.
    std::size_t pendingBytes() const;

    /// \brief Returns whether an event has ended since the last reset().
    bool hasEvent() const;

    /// \brief Starts again at the beginning of an event.
    void reset();

private:
    bool m_isInsideEvent = false;
    bool m_hasEvent = false;
    std::size_t m_pendingBytes = 0;
    bool m_isAtLineStart = true;
    bool m_isAfterCarriageReturn = false; ///< Whether a line feed would belong to the line end that was just scanned.
};

} // namespace Verbena::Http
