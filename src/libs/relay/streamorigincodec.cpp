#include "streamorigincodec.h"

#include <algorithm>
#include <limits>

namespace Verbena::Relay {

using Decisions::StreamKey;
using Decisions::StreamOrigin;
using Decisions::ToldOrigin;
using std::chrono::milliseconds;

namespace {

std::uint32_t encodeDuration(milliseconds duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

verbena::wire::StreamOrigin encodeOrigin(const StreamKey &key, const StreamOrigin &origin, milliseconds lifetime)
{
    verbena::wire::StreamOrigin message;
    message.set_organisation(key.organisation);
    message.set_attempt(key.attemptId);
    message.set_service(origin.service);
    message.set_software_version(origin.softwareVersion);
    message.set_is_disputed(origin.isDisputed);
    message.set_lifetime_ms(encodeDuration(lifetime));
    return message;
}

StreamKey decodeKey(const verbena::wire::StreamOrigin &origin)
{
    return {origin.organisation(), origin.attempt()};
}

StreamOrigin decodeOrigin(const verbena::wire::StreamOrigin &origin)
{
    return {origin.service(), origin.software_version(), origin.is_disputed()};
}

verbena::wire::StreamOriginAnswer encodeAnswer(std::uint64_t id, const StreamKey &key, const std::optional<StreamOrigin> &origin)
{
    verbena::wire::StreamOriginAnswer message;
    message.set_id(id);
    if (origin.has_value()) {
        *message.mutable_origin() = encodeOrigin(key, *origin, milliseconds(0));
    }
    return message;
}

std::optional<ToldOrigin> decodeAnswer(const verbena::wire::StreamOriginAnswer &answer)
{
    return answer.has_origin() ? std::optional(ToldOrigin{decodeKey(answer.origin()), decodeOrigin(answer.origin())}) : std::nullopt;
}

} // namespace Verbena::Relay
