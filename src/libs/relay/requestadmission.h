#pragma once

#include "relayprotocol.h"

#include <decisions/relay/relaydirectory.h>

#include <optional>

namespace Verbena::Relay {

/// \brief The result of checking a request against a configuration: its route and organisation, or why it is refused.
struct RequestAdmission
{
    RelayQuery query;
    const Decisions::RelayRoute *route = nullptr;
    const Decisions::RelayOrganisation *organisation = nullptr; ///< Null if the request needs no key.
    std::optional<Refusal> refusal;
};

/// \brief Checks a request with \a head that came at \a arrival against \a directory, which may be null.
RequestAdmission admitRequest(
    const RelayProtocol &protocol, const Decisions::RelayDirectory *directory, const Http::MessageHead &head, Core::TimePoint arrival);

} // namespace Verbena::Relay
