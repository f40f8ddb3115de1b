#pragma once

#include <decisions/spread/randomsource.h>

#include <verbena.pb.h>

namespace Verbena::Soak {

/// \brief Returns a well-formed message like \a message but for one part: a number or text is extreme, or an entry of a list is doubled, left out or moved.
verbena::wire::Envelope oddMessage(const verbena::wire::Envelope &message, Decisions::RandomSource &random);

} // namespace Verbena::Soak
