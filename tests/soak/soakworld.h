#pragma once

#include "answerjudge.h"
#include "datagramlinks.h"
#include "disturbances.h"
#include "faultyproxy.h"
#include "hostfiles.h"
#include "ledger.h"
#include "processlogs.h"
#include "soakworker.h"
#include "supervisedprocess.h"

#include <decisions/spread/randomsource.h>
#include <eventloop/loop.h>
#include <platform/storestandin.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief How many of each there are.
struct WorldSize
{
    std::size_t routers = 3;
    std::size_t engines = 3;
    std::size_t services = 2;
    std::size_t slowServices = 2;
    std::size_t callersPerRouter = 4; ///< Of each kind.
};

/// \brief Real routers and agents as processes, behind proxies, between fakes of all else.
class SoakWorld
{
public:
    SoakWorld(std::uint64_t seed, const WorldSize &size);
    ~SoakWorld();

    SoakWorld(const SoakWorld &) = delete;
    SoakWorld &operator=(const SoakWorld &) = delete;

    EventLoop::Loop &loop();
    Decisions::RandomSource &random();
    Ledger &ledger();
    Test::StoreStandin &store();
    std::vector<Http::Endpoint> routerEndpoints() const;

    /// \brief Endpoints of links to the routers, in the same order.
    std::vector<Http::Endpoint> linkEndpoints() const;

    /// \brief Returns whether the link to router \a index was not sound at some time since \a time.
    bool isLinkHarmedSince(std::size_t index, Core::TimePoint time) const;

    /// \brief Returns whether router \a index refused the connection of the request \a id behind its link, where the caller could not see it.
    bool hasLinkRefused(std::size_t index, const std::string &id) const;
    std::size_t routerCount() const;
    std::size_t workerCount() const;
    const WorldSize &size() const;

    /// \brief Memory that each router may hold, in megabytes.
    std::uint64_t routerMegabytes() const;

    /// \brief Names the path that only the newest configuration has.
    std::string newestPath() const;

    /// \brief Writes a newer configuration.
    void changeConfiguration();

    /// \brief Names newer weights.
    void nameWeights();
    std::uint64_t newestWeights() const;
    bool hasNewestWeightsEverywhere() const;

    /// \brief Sends a signal to router \a index and to its predecessor that still ends; one that ends it is followed by a start.
    void signalRouter(std::size_t index, int signalNumber);
    void signalAgent(std::size_t index, int signalNumber);

    /// \brief Start of the process that is router \a index, or agent \a index, now.
    Core::TimePoint routerStart(std::size_t index) const;
    Core::TimePoint agentStart(std::size_t index) const;

    /// \brief Asks router \a index to end and starts its successor at once, while it still holds its ports.
    void replaceRouter(std::size_t index);

    /// \brief Closes the reading end of the log of router \a index, or of agent \a index.
    void closeRouterLog(std::size_t index);
    void closeAgentLog(std::size_t index);

    /// \brief What happened to router \a index since a request for \a path was sent to it at \a time.
    RouterPast pastSince(std::size_t index, const std::string &path, Core::TimePoint time) const;

    Disturbances &disturbances();

    /// \brief Time that slow requests take from now on.
    void setWorkTime(std::chrono::milliseconds time);

    /// \brief Starts what has ended, and completes the host files of what has started; to be called now and then.
    void restartEnded();

    /// \brief Ends the backend servers that a request has crashed; to be called now and then.
    void endCrashing();

    /// \brief Takes what the processes have logged; to be called now and then, or they leave lines out.
    void collectLogs();

    /// \brief Writes the logs of all processes to files in \a folder.
    void writeLogs(const std::string &folder) const;

    /// \brief Returns the collected log lines that name the request \a id, at most \a most.
    std::vector<std::string> logLinesOf(const std::string &id, std::size_t most) const;

    /// \brief Whether router \a index was started anew since the last question.
    bool takeRestart(std::size_t index);

    /// \brief Makes the entry of engine \a index name its model twice.
    void nameModelsTwice(std::size_t index);

    /// \brief Writes the proper entry of backend server \a index.
    void registerWorker(std::size_t index);

    /// \brief Writes an entry of a server that is none, like that of backend server \a index but for an odd part.
    void writeOddEntry(std::size_t index);

    void crashWorker(std::size_t index);
    SoakWorker &worker(std::size_t index);
    FaultyProxy &workerProxy(std::size_t index);
    FaultyProxy &storeProxy(std::size_t index);

    /// \brief Harms the link between callers and router \a index until \a end, when it has to be called with the mode Pass.
    void setLinkMode(std::size_t index, FaultyProxy::Mode mode, Core::TimePoint end);

    /// \brief Sets what happens to connections of other routers to router \a index.
    void setPeerMode(std::size_t index, FaultyProxy::Mode mode);

    const DatagramLinks &datagrams() const;

    /// \brief Lets \a fault happen to the datagrams of router \a index, or of agent \a index; nothing ends it.
    void setRouterNews(std::size_t index, std::optional<DatagramFault> fault);
    void setAgentNews(std::size_t index, std::optional<DatagramFault> fault);

    /// \brief Ends every fault.
    void heal();

private:
    struct Worker
    {
        std::unique_ptr<SoakWorker> server;
        std::unique_ptr<FaultyProxy> proxy;
        std::string ip;
        std::unique_ptr<SupervisedProcess> agent; ///< Of an engine.
    };

    struct Router
    {
        std::unique_ptr<SupervisedProcess> process;
        std::unique_ptr<SupervisedProcess> predecessor; ///< Still ends, after replaceRouter().
        std::unique_ptr<FaultyProxy> store; ///< Its way to the store.
        std::unique_ptr<FaultyProxy> link; ///< A way of callers to it.
        std::vector<std::unique_ptr<FaultyProxy>> peers; ///< Ways of other routers to it.
        Core::TimePoint linkEnd; ///< Until when its link was harmed.
        Core::TimePoint lastKill;
        std::vector<PlannedStop> stops;
        std::string ip;
        bool isRestarted = false;
    };

    std::string ip(std::size_t number) const;
    std::unique_ptr<SupervisedProcess> start(const std::string &program, const HostSettings &settings);
    bool reapIfEnded(std::unique_ptr<SupervisedProcess> &process, Core::TimePoint &killedAt);
    void setNews(const std::string &ip, std::optional<DatagramFault> fault);
    void openWays(std::size_t index);
    std::string service(std::size_t index) const;
    void startRouter(std::size_t index);
    void startAgent(std::size_t index);
    nlohmann::json workerRow(std::size_t index) const;
    void writeConfiguration();

    HostFiles m_files;
    ProcessLogs m_logs;
    std::unique_ptr<EventLoop::Loop> m_loop;
    Decisions::RandomSource m_random;
    Ledger m_ledger;
    Test::StoreStandin m_store;
    DatagramLinks m_links;
    std::vector<Worker> m_workers; ///< Engines first.
    std::vector<Router> m_routers;
    WorldSize m_size;
    std::chrono::seconds m_grace;
    std::uint64_t m_routerMegabytes; ///< Limit of memory of each router.
    std::size_t m_softwareVersions; ///< Of its backend servers at the same time.
    Disturbances m_disturbances;
    std::set<std::size_t> m_crashing; ///< Backend servers that end with the next endCrashing().
    int m_configuration = 1;
    std::uint64_t m_weights = 1;
};

} // namespace Verbena::Soak
