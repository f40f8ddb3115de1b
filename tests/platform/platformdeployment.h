#pragma once

#include "storedoor.h"
#include "storestandin.h"
#include "workerfake.h"

#include <eventloop/loop.h>
#include <support/childprocess.h>
#include <support/temporaryfolder.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/resource.h>

namespace Verbena::Test {

/// \brief Fake engine of the platform that answers prompts, reports its status and accepts orders to load weights.
class EngineFake
{
public:
    EngineFake(EventLoop::Loop &loop, const std::string &ip);

    std::string address() const;

    /// \brief Returns the bodies of the accepted orders.
    const std::vector<nlohmann::json> &orders() const;

    /// \brief Returns the heads of the callers' requests that it ran.
    const std::vector<Http::MessageHead> &runs() const;

    std::uint64_t version() const;

    /// \brief Accepts orders from now on without carrying them out.
    void holdOrders();

    /// \brief Returns the arrival times of runs().
    const std::vector<Core::TimePoint> &runTimes() const;

    /// \brief Answers requests of callers after \a time from now on.
    void workFor(std::chrono::milliseconds time);

    /// \brief Reports \a count running requests from now on.
    void setRunning(int count);

    /// \brief Answers requests for its report with \a bytes from now on; no value means to report again.
    void reportWith(std::optional<std::string> bytes);

    /// \brief Says in its answers from now on that it leaves.
    void sayLeaving();

    /// \brief Refuses requests from now on and asks in the first refusal of each router for \a rest; the attempt ids of callers begin with the router's name
    /// and a hyphen. No value means to run requests again.
    void refuse(std::optional<std::chrono::seconds> rest);

    /// \brief Names \a perSecond as its limit for all routers in its answers from now on; no value means no limit.
    void nameLimit(std::optional<double> perSecond);

private:
    WorkerScript answer(const Http::MessageHead &head, const std::string &body);
    WorkerScript refusal(const std::string &attemptId);
    std::string order(const std::string &body);

    std::uint64_t m_version = 1;
    bool m_isHoldingOrders = false;
    int m_running = 0;
    std::chrono::milliseconds m_work{0}; ///< Time that it takes for the request of a caller.
    std::optional<std::string> m_report;
    std::vector<nlohmann::json> m_orders;
    std::vector<Http::MessageHead> m_runs;
    std::vector<Core::TimePoint> m_runTimes;
    std::optional<double> m_limit;
    bool m_isLeaving = false;
    std::optional<std::chrono::seconds> m_rest;
    std::set<std::string> m_askedForRest; ///< Routers that were asked for rest.
    EventLoop::Loop &m_loop;
    WorkerFake m_worker;
};

/// \brief What the settings of a router's process let it use.
struct HostLimits
{
    std::uint64_t memoryMegabytes = 0;
    std::uint64_t descriptors = 0;
    std::optional<rlimit> systemDescriptors = std::nullopt; ///< Limits that the system sets; without a value those of the test.
};

/// \brief Real router and agent processes on loopback addresses, with fakes of the platform on the test's own event loop.
///
/// Each host has its own loopback address, so that all hosts use the same ports, as on the platform.
class PlatformDeployment
{
public:
    /// \brief Starts \a routers routers and an agent. \a longestWeightsUse is the bound on old weights in the settings of all processes.
    explicit PlatformDeployment(std::size_t routers = 1, std::chrono::milliseconds longestWeightsUse = std::chrono::milliseconds(8000));
    ~PlatformDeployment();

    PlatformDeployment(const PlatformDeployment &) = delete;
    PlatformDeployment &operator=(const PlatformDeployment &) = delete;

    EventLoop::Loop &loop();
    StoreStandin &store();

    /// \brief Returns the proxy through which \a router reaches the store.
    StoreDoor &door(std::size_t router);

    EngineFake &engine();
    ChildProcess &router(std::size_t index = 0);
    ChildProcess &agent();

    /// \brief Names \a limits in the settings of routers that are started from now on.
    void setHostLimits(const HostLimits &limits);

    /// \brief Names \a grace as the time from SIGTERM to SIGKILL in the settings of processes that are started from now on.
    void setGrace(std::chrono::seconds grace);

    /// \brief Kills a router and restarts it.
    void restartRouter(std::size_t index = 0);

    /// \brief Kills a router until restartRouter().
    void stopRouter(std::size_t index = 0);

    /// \brief Kills a router and leaves requests of other routers to its host unanswered.
    void darkenRouter(std::size_t index);

    /// \brief Kills the agent and restarts it.
    void restartAgent();

    /// \brief Starts an agent on the host \a name, beside \a engine, which serves \a service.
    std::unique_ptr<ChildProcess> startFurtherAgent(const std::string &name, const EngineFake &engine, const std::string &service);

    /// \brief Returns the initial configuration with \a version, which tests modify and write again.
    static nlohmann::json configuration(std::uint64_t version);

    /// \brief Writes \a configuration with one route more, /load/, which is like the first but not idempotent, and the server at \a address for it.
    void addLoadedServer(nlohmann::json configuration, const std::string &address);

    /// \brief Sends a prompt with \a key to a router and returns the whole answer.
    std::string ask(const std::string &key = "secret", const std::string &path = "/wall/2f", std::size_t router = 0);

    /// \brief Repeats ask() until the answer contains \a part; returns false if it never does.
    bool askUntil(const std::string &part, const std::string &key = "secret", const std::string &path = "/wall/2f", std::size_t router = 0);

    bool runUntil(const std::function<bool()> &isDone);

    /// \brief Runs the loop for \a span.
    void runFor(std::chrono::milliseconds span);

    /// \brief Returns the loopback address of the host with \a index.
    std::string hostNumber(std::size_t index) const;

    /// \brief Returns the address of a router for callers.
    Http::Endpoint callersEndpoint(std::size_t router = 0) const;

private:
    std::string hostFile(const std::string &name, const std::string &ip, const std::string &store, const std::string &more) const;
    void startRouter(std::size_t index);
    void startAgent();
    static void waitUntilStarted(ChildProcess &process);
    void registerEngine();

    TemporaryFolder m_folder;
    std::chrono::milliseconds m_longestWeightsUse;
    std::chrono::seconds m_grace{8};
    std::optional<rlimit> m_systemDescriptors; ///< Of routers.
    std::string m_limits; ///< Section of the routers' settings; empty if they name no limits.
    std::unique_ptr<EventLoop::Loop> m_loop;
    StoreStandin m_store;
    EngineFake m_engine;
    std::vector<std::unique_ptr<StoreDoor>> m_doors; ///< By router.
    std::vector<std::unique_ptr<ChildProcess>> m_routers;
    std::vector<std::unique_ptr<WorkerFake>> m_dark;
    std::unique_ptr<ChildProcess> m_agent;
};

} // namespace Verbena::Test
