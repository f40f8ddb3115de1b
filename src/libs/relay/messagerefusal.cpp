#include "messagerefusal.h"

namespace Verbena::Relay {

Refusal refusalOf(Http::MessageFault fault)
{
    switch (fault) {
    case Http::MessageFault::HeaderTooLarge:
        return {431, "The header of the request is too large.", std::nullopt};
    case Http::MessageFault::TrailerTooLarge:
        return {431, "The trailer of the request is too large.", std::nullopt};
    case Http::MessageFault::BodyTooLarge:
        return {413, "The body of the request is too large.", std::nullopt};
    case Http::MessageFault::FramingTooLarge:
        return {413, "The chunks of the request carry too much beside the body.", std::nullopt};
    case Http::MessageFault::ChunkLineTooLong:
    case Http::MessageFault::TooManyInterimHeads:
    case Http::MessageFault::Malformed:
    case Http::MessageFault::Truncated:
        break;
    }
    return {400, "The request is not proper HTTP/1.1.", std::nullopt};
}

} // namespace Verbena::Relay
