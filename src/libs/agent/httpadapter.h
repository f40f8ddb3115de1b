#pragma once

#include "backendwatch.h"
#include "runcall.h"

#include <http/bodycollector.h>

#include <unordered_map>

namespace Verbena::Agent {

/// \brief Base class of the adapters for backend servers that speak HTTP.
class HttpAdapter : public BackendAdapter, public RunCallOwner
{
public:
    void start() override;
    void startRun(const Decisions::RequestRef &ref, const verbena::wire::Dispatch &dispatch, Core::TimePoint deadline) override;
    void cancelRun(const Decisions::RequestRef &ref) override;
    void loseRuns(const std::string &detail) override;
    void pauseRun(const Decisions::RequestRef &ref) override;
    void resumeRun(const Decisions::RequestRef &ref) override;
    bool isUp() const override;

    void noteEngineIncarnation(std::uint64_t incarnation) override;
    void receiveCallOutput(const Decisions::RequestRef &ref, std::string_view text, std::uint32_t tokens) override;
    void finishCall(const Decisions::RequestRef &ref, const BackendEnd &end, const Core::Result<int> &status) override;

protected:
    HttpAdapter(EventLoop::Loop &loop, std::unique_ptr<Http::HttpClient> client, const BackendWatchOptions &options, BackendListener &listener);

    virtual Core::Result<Http::HttpCall> makeCall(const verbena::wire::Dispatch &dispatch) const = 0;
    virtual std::shared_ptr<RunCall> makeRunCall(const Decisions::RequestRef &ref) = 0;

    EventLoop::Loop &m_loop;
    std::unique_ptr<Http::HttpClient> m_client;
    BackendWatchOptions m_options;
    BackendListener &m_listener;
    BackendWatch m_watch;

private:
    void checkServer(const Decisions::RequestRef &ref, const BackendEnd &end);
    void handleServerCheck(const Decisions::RequestRef &ref, BackendEnd end, bool isUp);

    std::unordered_map<Decisions::RequestRef, Http::HttpCallId, Decisions::RequestRefHash> m_calls; ///< Calls of runs, and checks of the server after them.
};

} // namespace Verbena::Agent
