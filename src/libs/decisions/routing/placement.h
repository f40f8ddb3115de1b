#pragma once

#include "backendserver.h"
#include "prefixchain.h"

#include <span>
#include <vector>

namespace Verbena::Decisions {

/// \brief Orders the backend servers of one pool by their distance to a key, the same on every router.
///
/// The distance depends only on the key and the backend server, so the loss of one backend server moves only the keys whose home it was.
/// It is that of multi-probe consistent hashing, which finds the nearest members without visiting all of them.
class Placement
{
public:
    Placement() = default;

    /// \brief Creates a placement of the backend servers of \a pool, which may be in any order; one that is named more than once counts once.
    explicit Placement(std::span<const BackendServerId> pool);

    /// \brief Returns the \a count backend servers that are nearest to \a key, nearest first; fewer if the pool is smaller.
    std::vector<BackendServerId> nearest(PrefixKey key, std::size_t count) const;

    /// \brief Returns all backend servers of the pool, ordered by id.
    const std::vector<BackendServerId> &members() const;

    /// \brief Returns the distance between \a key and the backend server \a id on the hash ring.
    static std::uint64_t distance(PrefixKey key, BackendServerId id);

private:
    struct Point
    {
        std::uint64_t position;
        BackendServerId id;
    };

    std::size_t firstPointAt(std::uint64_t position) const;

    std::vector<BackendServerId> m_members;
    std::vector<Point> m_ring; ///< Ordered by position.
};

} // namespace Verbena::Decisions
