#pragma once

#include "figures.h"
#include "policy.h"

#include <functional>
#include <map>
#include <queue>
#include <unordered_set>

namespace Verbena::PolicyBench {

/// \brief Runs one policy over one workload in virtual time and counts what comes of it.
class Bench
{
public:
    /// \brief A bench for \a policy, or nothing if it cannot be run with \a options.
    static std::unique_ptr<Bench> create(const BenchOptions &options, const std::string &policy);

    nlohmann::ordered_json run();

private:
    struct Event
    {
        Core::TimePoint at;
        std::uint64_t number = 0; ///< Events of one moment keep their order.
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    // A request until its answer is complete or it is given up.
    struct Flight
    {
        Request request;
        std::size_t router = 0;
        std::uint32_t attempts = 0;
        Attempt attempt;
        bool isStarted = false;
    };

    explicit Bench(const BenchOptions &options);
    void at(Core::TimePoint when, std::function<void()> action);
    void note(const Request &request, const std::function<void(Figures &)> &change);
    void tellFleet(const std::vector<Decisions::BackendServerId> &leaving);
    void beginEvent();
    void crash(Worker &worker);
    void arrive(Core::TimePoint last);
    void probe(std::uint64_t id);
    void answerProbe(std::uint64_t id, Decisions::BackendServerId server);
    void dispatch(std::uint64_t id, const Decisions::RouteDecision &probed);
    void retry(std::uint64_t id);
    void deliver(std::uint64_t id, Worker &worker);
    void carryOut(Worker &worker, const std::vector<Decisions::GateAction> &actions);
    void start(Worker &worker, std::uint64_t id);
    void sendCacheEvents(Worker &worker, const Flight &flight, const FakeRun &run);
    void noteFirstToken(Worker &worker, std::uint64_t id, const FakeRun &run);
    void noteEnd(Worker &worker, std::uint64_t id);
    void refuse(Worker &worker, const Decisions::Refuse &action);
    void tellLoad(std::size_t router, Worker &worker);
    void scheduleTick(Worker &worker);
    void noteMessage(const Flight &flight, std::size_t bytes);
    void sampleQueues();

    BenchOptions m_options;
    Deployment m_deployment;
    Workload m_workload;
    std::vector<Worker> m_workers;
    std::unordered_map<Decisions::BackendServerId, std::size_t> m_indexes;
    std::unique_ptr<Policy> m_policy;
    std::priority_queue<Event> m_events;
    std::unordered_map<std::uint64_t, Flight> m_flights;
    std::unordered_set<Decisions::PrefixKey> m_computed;
    Figures m_all;
    Figures m_before;
    Figures m_after;
    std::map<std::int64_t, Figures> m_seconds; ///< By second since the event.
    std::mt19937_64 m_random;
    std::uint64_t m_lastEvent = 0;
    std::size_t m_toLeaving = 0; ///< Dispatches to leaving backend servers later than three seconds after.
    Core::TimePoint m_now;
    Core::TimePoint m_eventAt;
    Core::TimePoint m_end;
};

} // namespace Verbena::PolicyBench
