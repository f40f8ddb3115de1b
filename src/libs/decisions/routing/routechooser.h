#pragma once

#include "backendserver.h"
#include "prefixchain.h"

#include <core/time.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief What a request needs of a backend server.
struct RouteQuery
{
    ModelVersion version; ///< For a completion.
    std::string service; ///< For a call of a plain service; then version is empty.
    std::vector<PrefixKey> keys; ///< Shallow to deep.
    PrefixKey root{};
    std::vector<BackendServerId> excluded; ///< Tried before, or refused.
};

/// \brief What an agent says of itself with a reply.
struct LoadReport
{
    std::uint64_t incarnation = 0;
    std::chrono::microseconds queuedWork{0}; ///< Until a new request would begin prefill.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t overloadLevel = 0; ///< Requests marked at or above this are refused; 0 means none.
    std::chrono::microseconds prefillPerPiece{0};
    bool isLeaving = false;
};

/// \brief Chooses the backend server for each request of one router.
class RouteChooser
{
public:
    /// \brief Takes the backend servers in place of those known before.
    void setFleet(std::vector<BackendServer> servers);

    /// \brief Notes what an agent said of itself at \a now.
    void noteLoad(BackendServerId id, const LoadReport &report, Core::TimePoint now);

    /// \brief The backend server to send to, or nothing if none may serve the request.
    std::optional<BackendServerId> choose(const RouteQuery &query, Core::TimePoint now) const;

    const BackendServer *server(BackendServerId id) const;

private:
    std::vector<BackendServerId> poolFor(const RouteQuery &query) const;

    std::unordered_map<BackendServerId, BackendServer> m_servers;
    std::unordered_map<BackendServerId, LoadReport> m_loads;
};

} // namespace Verbena::Decisions
