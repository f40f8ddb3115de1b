#pragma once

#include "relayprotocol.h"

#include <decisions/relay/relaydirectory.h>

#include <optional>

namespace Verbena::Relay {

/// \brief What a configuration says of a request: its route and organisation, or why it is refused.
struct RequestAdmission
{
    RelayQuery query;
    const Decisions::RelayRoute *route = nullptr;
    const Decisions::RelayOrganisation *organisation = nullptr; ///< Nothing where no key is needed.
    std::optional<Refusal> refusal;
};

/// \brief Reads \a head, which came at \a arrival, by \a directory, which may be nothing.
RequestAdmission admitRequest(
    const RelayProtocol &protocol, const Decisions::RelayDirectory *directory, const Http::MessageHead &head, Core::TimePoint arrival);

} // namespace Verbena::Relay
