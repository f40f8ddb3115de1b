#include "serverpace.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

namespace {

// A wrong estimate within these bounds does no worse than a choice by chance among servers whose speeds differ as usual.
constexpr double lowestSlowness = 0.25;
constexpr double highestSlowness = 4;

// Machines that are shared slow down and recover several times a second.
constexpr milliseconds freshPaceAge{100};
constexpr milliseconds paceLifetime{500};

// Time constant with which costs of a server are averaged.
constexpr Seconds costSmoothingTime{1};
// Time constant with which paces of a server are averaged: many times the length of a short slowdown.
constexpr Seconds paceSmoothingTime{5};
// Where samples are rarer than that, each still counts for half only.
constexpr double maximumSampleWeight = 0.5;

// One of many routers gets an answer of each engine every few seconds.
constexpr Seconds costLifetime{10};
// After this silence a server is taken for one of average pace.
constexpr Seconds meanPaceLifetime{10};

// Paces of all servers over which the service's mean runs: some seconds of one router's answers, less where agents report.
constexpr std::size_t pacesInMean = 256;

// One sample may be an outlier.
constexpr std::size_t minimumSamples = 2;

constexpr milliseconds silenceBeforeMeasurement{2000};

// Part of each measured time that does not depend on the work: network and the step of an engine that is under way.
constexpr milliseconds fixedTime{10};

// Bounds of a sample, so that one that cannot be meant has no weight in sums.
constexpr double lowestCost = 0.001;
constexpr double highestCost = 1000;

// Returns 1 up to the age \a fresh, then less and less until 0 at \a lifetime.
double confidence(Seconds age, Seconds fresh, Seconds lifetime)
{
    return std::clamp((lifetime - age) / (lifetime - fresh), 0.0, 1.0);
}

double bounded(double slowness)
{
    return std::clamp(slowness, lowestSlowness, highestSlowness);
}

} // namespace

void ServerPace::updateServer(BackendServerId id, const std::string &service, std::uint64_t incarnation)
{
    Server &server = m_servers[id];
    const bool isRestarted = server.incarnation != 0 && incarnation != 0 && server.incarnation != incarnation;
    if (isRestarted || server.service != service) {
        server = {};
        server.service = service;
    }
    m_services.try_emplace(service);
    server.incarnation = incarnation != 0 ? incarnation : server.incarnation;
}

void ServerPace::removeIf(const std::function<bool(BackendServerId)> &isGone)
{
    std::erase_if(m_servers, [&isGone](const auto &entry) { return isGone(entry.first); });
    std::set<std::string> remaining;
    for (const auto &[id, server] : m_servers) {
        remaining.insert(server.service);
    }
    std::erase_if(m_services, [&remaining](const auto &entry) { return !remaining.contains(entry.first); });
}

void ServerPace::recordPace(BackendServerId id, double pace, Core::TimePoint now)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end()) {
        return;
    }
    server->second.pace = bounded(pace);
    smoothPace(server->second, now);
    server->second.pacedAt = now;
    server->second.heardAt = now;
    Service &service = m_services[server->second.service];
    service.isNamed = true;
    addPace(service, server->second.pace);
}

void ServerPace::smoothPace(Server &server, Core::TimePoint now)
{
    const double weight = std::min(maximumSampleWeight, 1 - std::exp(-(Seconds(now - server.pacedAt) / paceSmoothingTime)));
    server.meanPace += weight * (server.pace - server.meanPace);
}

void ServerPace::addPace(Service &service, double pace)
{
    service.paceCount = std::min(service.paceCount + 1, pacesInMean);
    service.meanPace += (pace - service.meanPace) / static_cast<double>(service.paceCount);
}

// The measured time is divided by the pace at that moment. Whether servers name their pace relative to what they themselves usually need, or to what any of
// the service needs, the product of both is then the time that work takes now.
void ServerPace::recordWork(BackendServerId id, microseconds elapsed, microseconds expected, Core::TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    Server &server = found->second;
    const double ratio = Seconds(elapsed) / Seconds(std::max(microseconds(0), expected) + fixedTime);
    const double cost = std::clamp(ratio / currentPace(server, m_services[server.service], now), lowestCost, highestCost);
    server.latestCosts[server.sampleCount % outlierWindow] = cost;
    ++server.sampleCount;
    server.heardAt = now;
    smoothCost(server, now);
    addCost(m_services[server.service], cost);
}

void ServerPace::smoothCost(Server &server, Core::TimePoint now)
{
    const double sample = robustCost(server);
    const double weight = std::min(maximumSampleWeight, 1 - std::exp(-(Seconds(now - server.sampledAt) / costSmoothingTime)));
    server.cost = server.sampleCount == 1 ? sample : server.cost + weight * (sample - server.cost);
    server.sampledAt = now;
}

// Returns the median of the latest samples, and the lower one of two.
double ServerPace::robustCost(const Server &server)
{
    std::array<double, outlierWindow> costs = server.latestCosts;
    const std::size_t count = std::min(server.sampleCount, outlierWindow);
    // The size of a whole array is known to the compiler, which would warn of a sort beyond the end of a part.
    std::fill(costs.begin() + static_cast<std::ptrdiff_t>(count), costs.end(), std::numeric_limits<double>::infinity());
    std::sort(costs.begin(), costs.end());
    return costs[(count - 1) / 2];
}

void ServerPace::addCost(Service &service, double cost)
{
    if (service.latestCosts.size() < serviceWindow) {
        service.latestCosts.push_back(cost);
    } else {
        service.latestCosts[service.next] = cost;
        service.next = (service.next + 1) % serviceWindow;
    }
    std::vector<double> costs = service.latestCosts;
    const auto middle = costs.begin() + static_cast<std::ptrdiff_t>(costs.size() / 2);
    std::nth_element(costs.begin(), middle, costs.end());
    service.median = *middle;
}

bool ServerPace::namesPace(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.isNamed;
}

// All servers slow down at times, so only the difference to the others says that a server is slow.
double ServerPace::lastingPace(const Server &server, const Service &service, Core::TimePoint now)
{
    return 1 + (server.meanPace / service.meanPace - 1) * confidence(now - server.pacedAt, paceLifetime, meanPaceLifetime);
}

// The last pace is relative to the usual and the lasting one to the service, so a server that was not heard of for 0.5 s seems faster while all are slow.
double ServerPace::currentPace(const Server &server, const Service &service, Core::TimePoint now)
{
    const double lasting = lastingPace(server, service, now);
    return lasting + (server.pace - lasting) * confidence(now - server.pacedAt, freshPaceAge, paceLifetime);
}

double ServerPace::learnedSlowness(const Server &server, const Service &service, Core::TimePoint now)
{
    if (server.sampleCount < minimumSamples || service.median <= 0) {
        return 1;
    }
    return 1 + (bounded(server.cost / service.median) - 1) * confidence(now - server.sampledAt, Seconds(0), costLifetime);
}

double ServerPace::slowness(BackendServerId id, Core::TimePoint now) const
{
    return scaledSlowness(id, &currentPace, now);
}

double ServerPace::lastingSlowness(BackendServerId id, Core::TimePoint now) const
{
    return scaledSlowness(id, &lastingPace, now);
}

double ServerPace::scaledSlowness(BackendServerId id, PaceFunction paceOf, Core::TimePoint now) const
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end()) {
        return 1;
    }
    const Service &service = m_services.at(server->second.service);
    if (!service.isNamed) {
        return 1;
    }
    return bounded(learnedSlowness(server->second, service, now) * paceOf(server->second, service, now));
}

bool ServerPace::isDueForMeasurement(BackendServerId id, Core::TimePoint now) const
{
    const auto server = m_servers.find(id);
    return server != m_servers.end() && now >= server->second.heardAt + silenceBeforeMeasurement;
}

} // namespace Verbena::Decisions
