#pragma once

#include <core/time.h>
#include <decisions/routing/backendserver.h>
#include <settings/inforcesettings.h>
#include <store/hostlist.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief When a backend server counts as suspected.
struct MembershipLimits
{
    std::uint32_t timeoutsBeforeSuspicion = 2; ///< In a row, without a reply between.
    std::chrono::milliseconds initialSuspicion{1000}; ///< How long the first suspicion skips it.
    std::chrono::milliseconds maximumSuspicion{8000}; ///< Each further suspicion without a reply doubles up to this.
    std::chrono::milliseconds lateReplyPeriod{60000}; ///< For so long replies of an agent that was replaced may still come.
};

/// \brief The backend servers of a deployment as one process sees them: from settings, the host list and its own traffic.
///
/// Settings say who belongs, the host list who is leaving or gone, and replies and timeouts of the process's own requests say who
/// answers. Nobody is asked for the sake of it.
class Membership
{
public:
    explicit Membership(const MembershipLimits &limits);

    /// \brief Takes the declared backend servers in place of those before.
    void setSettings(const Settings::InForceSettings &settings);

    /// \brief Takes a host list that the platform or a peer fetched at \a fetchedAt; one older than the last is ignored.
    ///
    /// A list that names no declared server at all is taken for a fault and ignored.
    void setHostList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt);

    /// \brief An agent answered, whatever it said, as the named incarnation of itself (0: it did not say).
    ///
    /// Agents count their own incarnations, which have nothing to do with the numbers of the host list.
    void recordReply(BackendServerId id, std::uint64_t incarnation, bool isLeaving, Core::TimePoint now);

    /// \brief An agent did not answer in time, or its connection broke.
    void recordTimeout(BackendServerId id, Core::TimePoint now);

    /// \brief What RouteChooser::setFleet() takes. Suspected servers are in it as live, so that they keep their rank.
    std::vector<BackendServer> fleet() const;

    /// \brief True while requests should skip the server although it keeps its rank.
    bool isSuspected(BackendServerId id, Core::TimePoint now) const;

    /// \brief The suspected servers, for RouteQuery::excluded; if nothing else is left, a request should try them after all.
    std::vector<BackendServerId> suspected(Core::TimePoint now) const;

    /// \brief The incarnation that the agent named last; 0 while it is not known.
    std::uint64_t incarnation(BackendServerId id) const;

    /// \brief Goes up whenever fleet() gives something else.
    std::uint64_t version() const;

private:
    struct PastIncarnation
    {
        std::uint64_t number = 0;
        Core::TimePoint ignoredUntil;
    };

    struct Member
    {
        BackendServer server;
        bool isDrained = false;
        std::uint64_t incarnation = 0; ///< Of the agent.
        std::vector<PastIncarnation> pastIncarnations;
        std::uint64_t listedIncarnation = 0; ///< Of the host.
        bool isLeavingByReply = false;
        bool isLeavingByList = false;
        bool wasListed = false;
        bool isListed = false;
        std::uint32_t timeouts = 0;
        std::uint32_t suspicions = 0;
        Core::TimePoint skipUntil;
        std::optional<Core::TimePoint> lastReply;
    };

    BackendServerState stateOf(const Member &member) const;
    void updateState(Member &member);
    bool updateIncarnation(Member &member, std::uint64_t incarnation, Core::TimePoint now);
    static void applyEntry(Member &member, const Store::HostEntry &entry);
    static void resetSuspicion(Member &member);

    MembershipLimits m_limits;
    std::map<BackendServerId, Member> m_members;
    std::optional<Core::TimePoint> m_listFetchedAt;
    std::uint64_t m_version = 0;
};

} // namespace Verbena::Decisions
