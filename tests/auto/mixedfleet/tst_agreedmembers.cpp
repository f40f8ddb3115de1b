#include "texthelpers.h"

#include <decisions/relay/activerouters.h>
#include <decisions/relay/homedomains.h>
#include <decisions/relay/originreplicas.h>
#include <decisions/relay/serverlimits.h>
#include <decisions/relay/usageowners.h>
#include <decisions/relay/weightsschedule.h>
#include <decisions/routing/placement.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace Verbena;
using namespace Verbena::Decisions;

namespace {

constexpr Core::TimePoint start{};

std::vector<BackendServerId> serversOf(std::size_t count)
{
    std::vector<BackendServerId> servers;
    for (const std::string &name : numbered("engine-", count)) {
        servers.push_back(backendServerId(name));
    }
    return servers;
}

// Returns the numbers of the servers nearest to \a key, nearest first.
std::string nearestNumbers(const std::vector<BackendServerId> &servers, std::uint64_t key)
{
    std::vector<std::string> numbers;
    for (const BackendServerId id : Placement(servers).nearest(PrefixKey(key), 3)) {
        numbers.push_back(std::to_string(std::find(servers.begin(), servers.end(), id) - servers.begin()));
    }
    return joined(numbers);
}

} // namespace

TEST(AgreedMembers, HomesOfPrefixes)
{
    const std::vector<BackendServerId> servers = serversOf(40);
    EXPECT_EQ(nearestNumbers(servers, 0), "27 4 8");
    EXPECT_EQ(nearestNumbers(servers, 1), "19 20 35");
    EXPECT_EQ(nearestNumbers(servers, ~std::uint64_t{0}), "0 6 26");
    EXPECT_EQ(nearestNumbers(servers, 0x0123456789abcdef), "29 23 0");
    EXPECT_EQ(hex(Placement::distance(PrefixKey(0x0123456789abcdef), servers.front())), "0057f2c79ba55796");
}

TEST(AgreedMembers, HomeDomainsOfPrompts)
{
    HomeDomains domains;
    for (const char *domain : {"a", "a", "a", "b", "c", "c"}) {
        domains.addEngine("chat", "large", domain);
    }
    std::string homes;
    for (std::uint64_t prompt = 0; prompt < 60; ++prompt) {
        homes += domains.homeOf("chat", "large", PrefixKey(prompt * 0x9e3779b97f4a7c15));
    }
    EXPECT_EQ(homes, "aacbaacaacbacaacbacaacccaacaccabcabccaccaaaaaabccbaaaacaaaca");
}

TEST(AgreedMembers, OwnersOfUsageCounters)
{
    UsageOwners owners(start);
    owners.setAgents(numbered("10.1.0.", 30));
    std::vector<std::string> chosen;
    for (const std::string &organisation : numbered("organisation-", 8)) {
        chosen.push_back(owners.owner(organisation, start)->address);
    }
    EXPECT_EQ(joined(chosen), "10.1.0.17 10.1.0.23 10.1.0.0 10.1.0.18 10.1.0.25 10.1.0.26 10.1.0.14 10.1.0.29");
}

TEST(AgreedMembers, ReplicasOfStreamOrigins)
{
    OriginReplicas replicas;
    replicas.setRouters(numbered("10.1.0.", 20));
    std::vector<ReplicaAgent> agents;
    for (const std::string &address : numbered("10.2.0.", 20)) {
        agents.push_back({address, address.substr(address.size() - 1)});
    }
    replicas.setAgents(agents);
    EXPECT_EQ(joined(replicas.replicas({"kalari", "attempt-1"})), "10.1.0.11 10.1.0.2 10.2.0.10 10.2.0.11");
    EXPECT_EQ(joined(replicas.queriedReplicas({"", "attempt-2"})), "10.1.0.2 10.1.0.19 10.1.0.12 10.1.0.1 10.2.0.3 10.2.0.8 10.2.0.15 10.2.0.9");
}

TEST(AgreedMembers, ElectedRouters)
{
    ActiveRouters routers(1);
    for (const std::string &address : numbered("10.1.0.", 20)) {
        routers.record(address, start);
    }
    EXPECT_EQ(joined(routers.elected(5)), "10.1.0.10 10.1.0.0 10.1.0.13 10.1.0.7 10.1.0.12");
}

TEST(AgreedMembers, RoutersThatShareALimit)
{
    const std::vector<std::string> addresses = numbered("10.1.0.", 12);
    std::vector<std::string> senders;
    for (const std::string &self : addresses) {
        ServerLimits limits;
        limits.setRouters(self, addresses);
        limits.handleAnswer("server-1", 1, 2.0, start, start);
        if (limits.nextSend("server-1", start).has_value()) {
            senders.push_back(self);
        }
    }
    EXPECT_EQ(joined(senders), "10.1.0.3 10.1.0.5 10.1.0.6 10.1.0.9");
}

TEST(AgreedMembers, TurnsToLoadWeights)
{
    std::vector<WeightsHolder> holders;
    for (const std::string &name : numbered("engine-", 12)) {
        holders.push_back({name, 6});
    }
    holders[3].version = 5;
    std::vector<std::string> positions;
    for (const auto &[id, slot] : rolloutSlots(holders, 7)) {
        positions.push_back(std::to_string(slot.position));
    }
    EXPECT_EQ(joined(positions), "6 3 2 10 5 0 11 9 1 8 4 7");
    EXPECT_EQ(hashedRolloutSlot("engine-1", 7).position, 785U);
}
