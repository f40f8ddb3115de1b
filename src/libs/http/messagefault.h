#pragma once

#include <optional>
#include <string_view>

namespace Verbena::Http {

/// \brief Reason why a message cannot be parsed.
enum class MessageFault {
    Malformed, ///< The message is not valid HTTP, or its length is ambiguous.
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< The connection was closed before the message was complete.
    ChunkLineTooLong, ///< The line with the size of a chunk, its extensions included, is longer than a head may be.
    TrailerTooLarge, ///< The fields after the last chunk are longer than a head may be.
    FramingTooLarge, ///< All that is no body takes more than the body and its chunks explain.
    TooManyInterimHeads, ///< More interim heads (1xx) came than before any final one.
};

/// \brief Returns the stable name of the bound that \a fault says was exceeded, for logs and metrics; nothing if it names none.
std::optional<std::string_view> exceededBoundName(MessageFault fault);

} // namespace Verbena::Http
