#pragma once

#include "messagereader.h"

namespace Verbena::Http {

/// \brief Replaces a target in absolute form, "http://AUTHORITY/PATH", by its path and query, and the Host field by its authority, as RFC 9112, 3.2.2 demands.
///
/// A head without a Host field, or whose target is of another form or scheme, is left as it is.
void useOriginForm(MessageHead &head);

} // namespace Verbena::Http
