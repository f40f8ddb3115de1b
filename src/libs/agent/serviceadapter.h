#pragma once

#include "httpadapter.h"

namespace Verbena::Agent {

/// \brief The way to a plain service: calls are passed on as they are.
class ServiceAdapter : public HttpAdapter
{
public:
    /// \brief Errors: Internal, if there is no HTTP client.
    static Core::Result<std::unique_ptr<BackendAdapter>> create(EventLoop::Loop &loop, const BackendWatchOptions &options, BackendListener &listener);

    void sendOrder(const Decisions::EngineOrder &order, OrderCallback done) override;
    bool isServing(verbena::wire::RunKind kind) const override;

protected:
    Core::Result<Http::HttpCall> makeCall(const verbena::wire::Dispatch &dispatch) const override;
    std::shared_ptr<RunCall> makeRunCall(const Decisions::RequestRef &ref) override;

private:
    using HttpAdapter::HttpAdapter;
};

} // namespace Verbena::Agent
