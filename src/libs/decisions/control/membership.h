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

/// \brief Limits that decide when and for how long a backend server is suspected.
struct MembershipLimits
{
    std::uint32_t timeoutsBeforeSuspicion = 2; ///< Number of consecutive timeouts without a reply in between.
    std::chrono::milliseconds initialSuspicion{1000}; ///< Duration of the first suspicion, during which requests skip the server.
    std::chrono::milliseconds maximumSuspicion{8000}; ///< Limit of the duration, which doubles with each further suspicion without a reply.
    std::chrono::milliseconds lateReplyPeriod{60000}; ///< Time during which replies of a replaced agent may still arrive.
};

/// \brief The state of the backend servers of a deployment, derived from the settings, the host list and the process's own traffic.
///
/// The settings declare the servers, the host list shows which are leaving or gone, and replies and timeouts of the process's own
/// requests show which respond. No probes are sent.
class Membership
{
public:
    explicit Membership(const MembershipLimits &limits);

    /// \brief Replaces the declared backend servers.
    void setSettings(const Settings::InForceSettings &settings);

    /// \brief Applies a host list that was fetched at \a fetchedAt. A list older than the last one is ignored.
    ///
    /// A list without any declared server is treated as a fault and ignored.
    void setHostList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt);

    /// \brief Records a reply of any content from the agent with \a incarnation (0 if the reply does not contain it).
    ///
    /// Agents count their own incarnations, which are unrelated to those of the host list.
    void recordReply(BackendServerId id, std::uint64_t incarnation, bool isLeaving, Core::TimePoint now);

    /// \brief Records that an agent did not answer in time or that its connection broke.
    void recordTimeout(BackendServerId id, Core::TimePoint now);

    /// \brief Returns the servers for RouteChooser::setFleet(). Suspected servers are included as live, so that they keep their rank.
    std::vector<BackendServer> fleet() const;

    /// \brief Returns true while requests should skip the server, which keeps its rank.
    bool isSuspected(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns the suspected servers for RouteQuery::excluded. If no other server is left, requests should try them anyway.
    std::vector<BackendServerId> suspected(Core::TimePoint now) const;

    /// \brief Returns the incarnation that the agent reported last, or 0 if it is unknown.
    std::uint64_t incarnation(BackendServerId id) const;

    /// \brief Returns a number that increases whenever fleet() changes.
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
        std::uint64_t incarnation = 0; ///< Incarnation of the agent.
        std::vector<PastIncarnation> pastIncarnations;
        std::uint64_t listedIncarnation = 0; ///< Incarnation of the host.
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
