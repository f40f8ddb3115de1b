#pragma once

#include "backendserver.h"
#include "prefixchain.h"

#include <span>
#include <vector>

namespace Verbena::Decisions {

/// \brief The \a count backend servers of \a pool that rank highest for \a key by rendezvous hashing, best first.
///
/// Every router computes the same ranks, and the loss of one backend server moves only the keys it was home of.
std::vector<BackendServerId> rendezvousRanks(PrefixKey key, std::span<const BackendServerId> pool, std::size_t count);

} // namespace Verbena::Decisions
