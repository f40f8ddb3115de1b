#include "measure.h"
#include "slopelist.h"

#include <decisions/control/membership.h>
#include <decisions/routing/routechooser.h>

#include <memory>

namespace Verbena::Bench {

namespace {

using namespace Decisions;

constexpr int models = 10;
constexpr int promptPieces = 16;

ModelVersion modelVersion(int number)
{
    return {"model" + std::to_string(number % models), "", "7"};
}

std::vector<BackendServer> fleet(int count)
{
    std::vector<BackendServer> servers;
    for (int i = 0; i < count; ++i) {
        BackendServer server;
        server.name = "engine" + std::to_string(i);
        server.id = backendServerId(server.name);
        server.endpoint = "tcp://10.20." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7000";
        server.failureDomain = std::string(1, static_cast<char>('a' + i % 8));
        server.served = {modelVersion(i)};
        servers.push_back(server);
    }
    return servers;
}

const Core::TimePoint start{std::chrono::seconds(1)};

std::unique_ptr<RouteChooser> chooserOf(int servers)
{
    auto chooser = std::make_unique<RouteChooser>();
    chooser->setFleet(fleet(servers));
    for (int i = 0; i < servers; ++i) {
        LoadReport report;
        report.incarnation = 1;
        report.queuedWork = std::chrono::milliseconds(i % 90);
        report.prefillPerPiece = std::chrono::milliseconds(100);
        chooser->updateLoad(backendServerId("engine" + std::to_string(i)), report, start);
    }
    return chooser;
}

double bytesOfChooser(int servers)
{
    return heapBytesOf([servers] { return chooserOf(servers); });
}

std::vector<RouteQuery> queries(int count)
{
    std::vector<RouteQuery> result;
    for (int i = 0; i < count; ++i) {
        const std::string prompt = std::string(8192 * (promptPieces - 1), 'x') + std::string(8192, static_cast<char>('a' + i % 20));
        RouteQuery query;
        query.version = modelVersion(i);
        const PrefixChain chain = PrefixChain::fromText({"organisation", query.version}, prompt, 8192);
        query.keys = chain.keys();
        query.root = chain.root();
        result.push_back(query);
    }
    return result;
}

double timeOfChoice(int servers)
{
    constexpr int rounds = 5;
    const auto chooser = chooserOf(servers);
    const std::vector<RouteQuery> asked = queries(200);
    return processorNanoseconds([&] {
        for (int round = 0; round < rounds; ++round) {
            for (const RouteQuery &query : asked) {
                keep(chooser->choose(query, start));
            }
        }
    }) / (rounds * static_cast<double>(asked.size()));
}

double timeOfFleetChange(int servers)
{
    const auto chooser = chooserOf(servers);
    const std::vector<BackendServer> next = fleet(servers);
    return processorNanoseconds([&] { chooser->setFleet(next); });
}

double timeOfPrefixKeys(int kilobytes)
{
    constexpr int rounds = 100;
    const std::string prompt(static_cast<std::size_t>(kilobytes) * 1024, 'x');
    return processorNanoseconds([&] {
        for (int i = 0; i < rounds; ++i) {
            keep(PrefixChain::fromText({"organisation", modelVersion(0)}, prompt, 8192));
        }
    }) / rounds;
}

std::unique_ptr<Membership> membershipOf(int servers)
{
    Settings::InForceSettings settings;
    std::vector<Store::HostEntry> hosts;
    for (const BackendServer &server : fleet(servers)) {
        Settings::BackendServerSettings declared;
        declared.name = server.name;
        declared.endpoint = server.endpoint;
        declared.failureDomain = server.failureDomain;
        declared.models = {server.served.begin()->model};
        settings.backendServers.emplace(server.name, declared);
        hosts.push_back({server.name, server.endpoint, server.failureDomain, 1, false});
    }
    auto membership = std::make_unique<Membership>(MembershipLimits{});
    membership->setSettings(settings);
    membership->setHostList(hosts, start);
    return membership;
}

double bytesOfMembership(int servers)
{
    return heapBytesOf([servers] { return membershipOf(servers); });
}

double timeOfHostList(int servers)
{
    const auto membership = membershipOf(servers);
    std::vector<Store::HostEntry> hosts;
    for (const BackendServer &server : fleet(servers)) {
        hosts.push_back({server.name, server.endpoint, server.failureDomain, 1, false});
    }
    Core::TimePoint now = start;
    return processorNanoseconds([&] {
        now += std::chrono::seconds(1);
        membership->setHostList(hosts, now);
    });
}

} // namespace

std::vector<Slope> routerSlopes()
{
    const std::vector<int> fleets{1'000, 2'500, 5'000, 10'000};
    return {
        measureSlope({"route_chooser_memory", "backend servers", "bytes", {}}, fleets, bytesOfChooser),
        measureSlope({"route_choice_time", "backend servers", "ns a choice", {}}, fleets, timeOfChoice),
        measureSlope({"fleet_change_time", "backend servers", "ns a change", {}}, fleets, timeOfFleetChange),
        measureSlope({"membership_memory", "backend servers", "bytes", {}}, fleets, bytesOfMembership),
        measureSlope({"host_list_time", "backend servers", "ns a list", {}}, fleets, timeOfHostList),
        measureSlope({"prefix_key_time", "KiB of prompt", "ns", {}}, {16, 64, 256, 1024}, timeOfPrefixKeys),
    };
}

} // namespace Verbena::Bench
