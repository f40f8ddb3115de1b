#pragma once

#include "policy.h"
#include "statistics.h"

#include <functional>
#include <map>
#include <queue>
#include <unordered_set>

namespace Verbena::PolicyBench {

/// \brief Simulates one routing policy under one workload in virtual time and collects statistics.
class Bench
{
public:
    /// \brief Creates a bench for \a policy; returns null if the policy doesn't exist or can't be run with \a options.
    static std::unique_ptr<Bench> create(const BenchOptions &options, const std::string &policy);

    /// \brief Runs the simulation to its end and returns the statistics. Must be called once only.
    nlohmann::ordered_json run();

private:
    struct Event
    {
        Core::TimePoint at;
        std::uint64_t number = 0; ///< Events with the same time run in the order of their numbers.
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    // Request whose answer is not complete and that has not been abandoned.
    struct PendingRequest
    {
        Request request;
        std::size_t router = 0;
        std::uint32_t attempts = 0;
        Attempt attempt;
        bool isStarted = false;
    };

    explicit Bench(const BenchOptions &options);
    void schedule(Core::TimePoint time, std::function<void()> action);
    void record(const Request &request, const std::function<void(Statistics &)> &change);
    void updateFleet(const std::vector<Decisions::BackendServerId> &leaving);
    void startScenarioEvent();
    void crash(Worker &worker);
    void scheduleArrival(Core::TimePoint last);
    void probe(std::uint64_t id);
    void handleProbe(std::uint64_t id, Decisions::BackendServerId server);
    void dispatch(std::uint64_t id, const Decisions::RouteDecision &probed);
    void retry(std::uint64_t id);
    void deliver(std::uint64_t id, Worker &worker);
    void execute(Worker &worker, const std::vector<Decisions::GateAction> &actions);
    void startRun(Worker &worker, std::uint64_t id);
    void sendCacheEvents(Worker &worker, const PendingRequest &pending, const FakeRun &run);
    void handleFirstToken(Worker &worker, std::uint64_t id, const FakeRun &run);
    void handleRunEnd(Worker &worker, std::uint64_t id);
    void refuse(Worker &worker, const Decisions::Refuse &action);
    void sendLoadReport(std::size_t router, Worker &worker);
    void scheduleTick(Worker &worker);
    void recordMessage(const PendingRequest &pending, std::size_t bytes);
    void sampleQueues();

    BenchOptions m_options;
    Deployment m_deployment;
    Workload m_workload;
    std::vector<Worker> m_workers;
    std::unordered_map<Decisions::BackendServerId, std::size_t> m_indexes;
    std::unique_ptr<Policy> m_policy;
    std::priority_queue<Event> m_events;
    std::unordered_map<std::uint64_t, PendingRequest> m_pending;
    std::unordered_set<Decisions::PrefixKey> m_computedPrefixes;
    Statistics m_all;
    Statistics m_before;
    Statistics m_after;
    std::map<std::int64_t, Statistics> m_seconds; ///< Statistics by second relative to the event.
    std::mt19937_64 m_random;
    std::uint64_t m_lastEvent = 0;
    std::size_t m_lateDispatchesToLeaving = 0; ///< Number of dispatches to leaving backend servers more than three seconds after the event.
    Core::TimePoint m_now;
    Core::TimePoint m_eventAt;
    Core::TimePoint m_end;
};

} // namespace Verbena::PolicyBench
