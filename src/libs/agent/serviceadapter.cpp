#include "serviceadapter.h"

namespace Verbena::Agent {

Core::Result<std::unique_ptr<BackendAdapter>> ServiceAdapter::create(EventLoop::Loop &loop, const BackendWatchOptions &options, BackendListener &listener)
{
    VERBENA_TRY(client, Http::HttpClient::create(loop));
    return std::unique_ptr<BackendAdapter>(new ServiceAdapter(loop, std::move(client), options, listener));
}

void ServiceAdapter::sendOrder(const Decisions::EngineOrder &, OrderCallback done)
{
    done(Decisions::OrderAnswer::Refused);
}

bool ServiceAdapter::isServing(verbena::wire::RunKind kind) const
{
    return kind == verbena::wire::RUN_KIND_SERVICE_CALL;
}

Core::Result<Http::HttpCall> ServiceAdapter::makeCall(const verbena::wire::Dispatch &dispatch) const
{
    Http::HttpCall call;
    call.method = "POST";
    call.url = m_options.url + dispatch.path();
    call.fields = {"Content-Type: application/json", "Verbena-Request: " + dispatch.request(), "Verbena-Attempt: " + std::to_string(dispatch.attempt())};
    call.body = dispatch.body();
    return call;
}

std::shared_ptr<RunCall> ServiceAdapter::makeRunCall(const Decisions::RequestRef &ref)
{
    return std::make_shared<ServiceCall>(ref, *this);
}

} // namespace Verbena::Agent
