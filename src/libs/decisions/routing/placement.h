#pragma once

#include "backendserver.h"
#include "prefixchain.h"

#include <span>
#include <vector>

namespace Verbena::Decisions {

/// \brief Ranks the backend servers of one pool for any key, the same on every router.
///
/// Every pair of key and backend server has a distance that depends on nothing else, and the nearest ranks first; so the loss of one
/// backend server moves only the keys it was home of. The distance is that of multi-probe consistent hashing, which finds the nearest
/// without looking at all.
class Placement
{
public:
    Placement() = default;

    /// \brief Places the backend servers of \a pool, in any order.
    explicit Placement(std::span<const BackendServerId> pool);

    /// \brief The \a count backend servers that rank highest for \a key, best first; fewer if the pool is smaller.
    std::vector<BackendServerId> ranks(PrefixKey key, std::size_t count) const;

    /// \brief All backend servers of the pool, ordered by id.
    const std::vector<BackendServerId> &members() const;

    /// \brief The distance that ranks \a id for \a key.
    static std::uint64_t distance(PrefixKey key, BackendServerId id);

private:
    struct Point
    {
        std::uint64_t position;
        BackendServerId id;
    };

    std::size_t firstFrom(std::uint64_t position) const;

    std::vector<BackendServerId> m_members;
    std::vector<Point> m_ring; ///< Ordered by position.
};

} // namespace Verbena::Decisions
