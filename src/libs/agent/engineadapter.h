#pragma once

#include "cacheeventpoller.h"
#include "httpadapter.h"

#include <vector>

namespace Verbena::Agent {

/// \brief Adapter for a model engine: streamed completions, cancellation, cache events.
class EngineAdapter : public HttpAdapter
{
public:
    /// \brief Creates an adapter. Errors: Internal, if no HTTP client can be created.
    static Core::Result<std::unique_ptr<BackendAdapter>> create(EventLoop::Loop &loop, const BackendWatchOptions &options, BackendListener &listener);

    void start() override;
    void startRun(const Decisions::RequestRef &ref, const verbena::wire::Dispatch &dispatch, Core::TimePoint deadline) override;
    void cancelRun(const Decisions::RequestRef &ref) override;
    void loseRuns(const std::string &detail) override;
    void sendOrder(const Decisions::EngineOrder &order, OrderCallback done) override;
    bool isServing(verbena::wire::RunKind kind) const override;

protected:
    Core::Result<Http::HttpCall> makeCall(const verbena::wire::Dispatch &dispatch) const override;
    std::shared_ptr<RunCall> makeRunCall(const Decisions::RequestRef &ref) override;

private:
    struct WaitingRun
    {
        Decisions::RequestRef ref;
        verbena::wire::Dispatch dispatch;
        Core::TimePoint deadline;
    };

    EngineAdapter(EventLoop::Loop &loop, std::unique_ptr<Http::HttpClient> client, const BackendWatchOptions &options, BackendListener &listener);
    void finishCancel(const std::string &request);

    CacheEventPoller m_events;
    std::unordered_map<std::string, std::vector<WaitingRun>> m_cancelling; ///< By request: runs that wait for the cancel of an earlier attempt.
};

} // namespace Verbena::Agent
