#pragma once

#include <observe/event.h>

namespace Verbena::Wire {

using Observe::Event;
using Observe::Severity;

inline constexpr Event peerRefused{1500, Severity::Warning, "peer_refused", "A peer without a known key was refused."};

} // namespace Verbena::Wire
