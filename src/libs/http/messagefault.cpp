#include "messagefault.h"

namespace Verbena::Http {

std::optional<std::string_view> exceededBoundName(MessageFault fault)
{
    switch (fault) {
    case MessageFault::HeaderTooLarge:
        return "head";
    case MessageFault::BodyTooLarge:
        return "body";
    case MessageFault::ChunkLineTooLong:
        return "chunk_line";
    case MessageFault::TrailerTooLarge:
        return "trailer";
    case MessageFault::FramingTooLarge:
        return "framing";
    case MessageFault::TooManyInterimHeads:
        return "interim_heads";
    case MessageFault::Malformed:
    case MessageFault::Truncated:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace Verbena::Http
