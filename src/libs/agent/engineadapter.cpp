#include "engineadapter.h"

#include "completionbody.h"

#include <eventloop/loop.h>

#include <nlohmann/json.hpp>

namespace Verbena::Agent {

namespace {

constexpr std::chrono::seconds cancelTimeout{1};

Decisions::OrderAnswer orderAnswerOf(const Core::Result<Http::HttpReply> &reply)
{
    if (!reply) {
        // What was not sent has no effect, but trying again at once would not help either.
        return reply.error().code == Core::ErrorCode::Unavailable ? Decisions::OrderAnswer::Refused : Decisions::OrderAnswer::Unknown;
    }
    switch (reply.value().status) {
    case 200:
    case 202:
        return Decisions::OrderAnswer::Done;
    case 409:
        return Decisions::OrderAnswer::Fenced;
    default:
        return Decisions::OrderAnswer::Refused;
    }
}

} // namespace

Core::Result<std::unique_ptr<BackendAdapter>> EngineAdapter::create(EventLoop::Loop &loop, const BackendWatchOptions &options, BackendListener &listener)
{
    VERBENA_TRY(client, Http::HttpClient::create(loop));
    return std::unique_ptr<BackendAdapter>(new EngineAdapter(loop, std::move(client), options, listener));
}

EngineAdapter::EngineAdapter(EventLoop::Loop &loop, std::unique_ptr<Http::HttpClient> client, const BackendWatchOptions &options, BackendListener &listener)
    : HttpAdapter(loop, std::move(client), options, listener)
    , m_events(loop, *m_client, options, m_watch, listener)
{
}

void EngineAdapter::start()
{
    HttpAdapter::start();
    m_events.start();
}

void EngineAdapter::startRun(const Decisions::RequestRef &ref, const verbena::wire::Dispatch &dispatch, Core::TimePoint deadline)
{
    const auto cancelling = m_cancelling.find(ref.request);
    if (cancelling != m_cancelling.end()) {
        // The engine knows the request alone and could take the new attempt for the cancelled one.
        cancelling->second.push_back({ref, dispatch, deadline});
        return;
    }
    m_events.noteRunStarted(ref);
    HttpAdapter::startRun(ref, dispatch, deadline);
}

void EngineAdapter::cancelRun(const Decisions::RequestRef &ref)
{
    const auto cancelling = m_cancelling.find(ref.request);
    if (cancelling != m_cancelling.end()) {
        std::erase_if(cancelling->second, [&ref](const WaitingRun &waiting) { return waiting.ref == ref; });
        return;
    }
    HttpAdapter::cancelRun(ref);
    m_cancelling[ref.request];
    Http::HttpCall call;
    call.method = "POST";
    call.url = m_options.url + "/cancel";
    call.fields = {"Content-Type: application/json"};
    call.body = nlohmann::json{{"request", ref.request}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    call.deadline = m_loop.now() + cancelTimeout;
    call.limits.bodyBytes = Http::AnswerLimits::statusBodyBytes;
    const std::string request = ref.request;
    m_client->start(call, std::make_shared<Http::BodyCollector>([this, request](const Core::Result<Http::HttpReply> &) { finishCancel(request); }));
}

void EngineAdapter::loseRuns(const std::string &detail)
{
    BackendEnd end;
    end.kind = BackendEnd::Kind::NotSent;
    end.detail = detail;
    for (auto &[request, runs] : m_cancelling) {
        std::vector<WaitingRun> waiting;
        waiting.swap(runs);
        for (const WaitingRun &run : waiting) {
            m_listener.finishRun(run.ref, end);
        }
    }
    HttpAdapter::loseRuns(detail);
}

void EngineAdapter::finishCancel(const std::string &request)
{
    const auto node = m_cancelling.extract(request);
    for (const WaitingRun &waiting : node.mapped()) {
        startRun(waiting.ref, waiting.dispatch, waiting.deadline);
    }
}

void EngineAdapter::sendOrder(const Decisions::EngineOrder &order, OrderCallback done)
{
    const Decisions::ModelVersion &version = order.order.version;
    const bool isLoad = order.order.kind == Decisions::ModelOrder::Kind::Load;
    Http::HttpCall call;
    call.method = "POST";
    call.url = m_options.url + "/orders";
    call.fields = {"Content-Type: application/json"};
    call.body = nlohmann::json{{"order", isLoad ? "load" : "unload"},
        {"fencing", order.fencingNumber},
        {"model", version.model},
        {"adapter", version.adapter},
        {"version", version.weightsVersion}}
                    .dump();
    // Nothing of the order may be written after the end of the lease it is given under.
    call.deadline = order.sendBy;
    call.limits.bodyBytes = Http::AnswerLimits::statusBodyBytes;
    m_client->start(
        call, std::make_shared<Http::BodyCollector>([done = std::move(done)](const Core::Result<Http::HttpReply> &reply) { done(orderAnswerOf(reply)); }));
}

bool EngineAdapter::isServing(verbena::wire::RunKind kind) const
{
    return kind == verbena::wire::RUN_KIND_COMPLETION;
}

Core::Result<Http::HttpCall> EngineAdapter::makeCall(const verbena::wire::Dispatch &dispatch) const
{
    VERBENA_TRY(body, completionBody(dispatch));
    Http::HttpCall call;
    call.method = "POST";
    call.url = m_options.url + dispatch.path();
    call.isRepeatable = dispatch.idempotent();
    call.fields = {"Content-Type: application/json", "Verbena-Request: " + dispatch.request(), "Verbena-Attempt: " + std::to_string(dispatch.attempt())};
    call.body = std::move(body);
    return call;
}

std::shared_ptr<RunCall> EngineAdapter::makeRunCall(const Decisions::RequestRef &ref)
{
    return std::make_shared<CompletionCall>(ref, *this);
}

} // namespace Verbena::Agent
