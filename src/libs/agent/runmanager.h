#pragma once

#include "backendadapter.h"
#include "routeroutput.h"
#include "runtable.h"

#include <decisions/gate/admissiongate.h>
#include <eventloop/timer.h>
#include <observe/metrics.h>

#include <deque>
#include <functional>
#include <memory>

namespace Verbena::Agent {

/// \brief Bounds of a RunManager.
struct RunManagerOptions
{
    Decisions::AdmissionGateOptions gate;
    std::size_t maximumBodyBytes = 256UL * 1024 * 1024; ///< Maximum size of the bodies of all held requests together.
};

/// \brief Passes requests of routers through admission to the backend server, and the output back.
class RunManager : public BackendListener, public RouterOutputOwner
{
public:
    RunManager(EventLoop::Loop &loop, const RunManagerOptions &options, RouterSender &sender, Observe::Metrics &metrics);

    /// \brief Sets the adapter for the backend server and starts to monitor it.
    void setBackend(std::unique_ptr<BackendAdapter> backend);

    // From routers
    void dispatch(const std::string &peer, const verbena::wire::Dispatch &dispatch);
    void cancel(const std::string &peer, const Decisions::RequestRef &ref);
    void grantCredit(const std::string &peer, const Decisions::RequestRef &ref, std::uint32_t frames);
    void refuse(const std::string &peer, const Decisions::RequestRef &ref, verbena::wire::RefusalReason reason, std::chrono::microseconds retryAfter);

    void sendToRouter(const std::string &peer, const verbena::wire::Envelope &message);

    // From settings and operators
    void setShares(const std::vector<Decisions::FlowShare> &shares);
    void setLeaving(bool isLeaving);

    /// \brief Ends every attempt that is held: what runs is cancelled, and the rest of a finished answer for which there is no credit is dropped. Routers
    /// are told of each.
    void giveUpRuns();

    /// \brief Sets the function that is called with each report of the backend server.
    void setReportCallback(std::function<void(const BackendReport &)> callback);
    BackendAdapter &backend();

    // Queries
    const Decisions::AdmissionGate &gate() const;
    const RunTable &runs() const;
    const BackendAdapter &backend() const;
    const std::vector<Decisions::ModelVersion> &servedModels() const;

    /// \brief Writes the load that routers should know for requests with \a keys to \a hint.
    void fillLoad(const std::vector<Decisions::PrefixKey> &keys, verbena::wire::LoadHint &hint) const;
    std::uint32_t warmPieces(const std::vector<Decisions::PrefixKey> &keys) const;

    /// \brief Returns whether no router waits for an answer.
    bool isIdle() const;

    /// \brief Sets the function that is called whenever the manager has become idle.
    void setIdleCallback(std::function<void()> callback);

    void receiveOutput(const Decisions::RequestRef &ref, std::string_view text, std::uint32_t tokens) override;
    void finishRun(const Decisions::RequestRef &ref, const BackendEnd &end) override;
    void receiveReport(const BackendReport &report) override;
    void receiveCacheEvent(const Decisions::CacheEvent &event) override;
    void incarnationChanged(std::uint64_t incarnation) override;
    void availabilityChanged(bool isUp, const Core::Error &reason) override;

    void routerGone(const std::string &peer) override;
    void retryRun(const Decisions::RequestRef &ref) override;

private:
    void perform(std::vector<Decisions::GateAction> actions);
    void performOne(const Decisions::StartRun &action);
    void performOne(const Decisions::Refuse &action);
    void performOne(const Decisions::ReportDuplicate &action);
    void performOne(const Decisions::DropQueued &action);
    void performOne(const Decisions::CancelRun &action);
    void serveModelOf(const verbena::wire::Dispatch &dispatch);
    void giveUp(const Decisions::RequestRef &ref);
    void sendAdmitted(const AgentRun &run);
    void setEnd(AgentRun &run, verbena::wire::EndKind kind, const BackendEnd &end);
    void flush(AgentRun &run);
    void eraseRun(const Decisions::RequestRef &ref);
    void scheduleTick();
    void tick();

    EventLoop::Loop &m_loop;
    RunManagerOptions m_options;
    Observe::Metrics &m_metrics;
    Decisions::AdmissionGate m_gate;
    RunTable m_runs;
    RouterOutput m_output;
    std::unique_ptr<BackendAdapter> m_backend;
    std::deque<Decisions::GateAction> m_actions;
    bool m_isPerforming = false;
    bool m_isServingAll = true; ///< Whether the engine does not report its models, so that it counts as serving all.
    std::vector<Decisions::ModelVersion> m_served;
    std::function<void()> m_idleCallback;
    std::function<void(const BackendReport &)> m_reportCallback;
    EventLoop::Timer m_tickTimer;
};

} // namespace Verbena::Agent
