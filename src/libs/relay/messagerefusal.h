#pragma once

#include "relayprotocol.h"

#include <http/messagefault.h>

namespace Verbena::Relay {

/// \brief Returns the answer to a request that could not be read because of \a fault.
Refusal refusalOf(Http::MessageFault fault);

} // namespace Verbena::Relay
