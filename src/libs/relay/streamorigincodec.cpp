#include "streamorigincodec.h"

#include <algorithm>
#include <limits>

namespace Verbena::Relay {

using Decisions::OriginAnswer;
using Decisions::StreamKey;
using Decisions::StreamOrigin;
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

verbena::wire::StreamOriginAnswer encodeAnswer(std::uint64_t id, const StreamKey &key, const OriginAnswer &answer)
{
    verbena::wire::StreamOriginAnswer message;
    message.set_id(id);
    if (answer.origin.has_value()) {
        *message.mutable_origin() = encodeOrigin(key, *answer.origin, milliseconds(0));
    }
    if (answer.soleSoftware.has_value()) {
        message.set_has_sole_software(true);
        message.set_sole_software_version(answer.soleSoftware->version);
        message.set_sole_software_ms(encodeDuration(answer.soleSoftware->duration));
    }
    return message;
}

OriginAnswer decodeAnswer(const verbena::wire::StreamOriginAnswer &answer)
{
    OriginAnswer decoded;
    if (answer.has_origin()) {
        decoded.origin = decodeOrigin(answer.origin());
    }
    if (answer.has_sole_software()) {
        decoded.soleSoftware = Decisions::SoleSoftware{answer.sole_software_version(), milliseconds(answer.sole_software_ms())};
    }
    return decoded;
}

} // namespace Verbena::Relay
