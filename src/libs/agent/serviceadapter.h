#pragma once

#include "httpadapter.h"

namespace Verbena::Agent {

/// \brief Adapter for a plain service; calls are forwarded unchanged.
class ServiceAdapter : public HttpAdapter
{
public:
    /// \brief Creates an adapter. Errors: Internal, if no HTTP client can be created.
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
