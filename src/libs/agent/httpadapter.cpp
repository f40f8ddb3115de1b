#include "httpadapter.h"

#include <eventloop/loop.h>

namespace Verbena::Agent {

namespace {

// The gate ends a run at its deadline; this ends it if that should fail.
constexpr std::chrono::seconds deadlineMargin{2};

// Many times what a server beside this agent takes for an answer.
constexpr std::chrono::seconds serverCheckTimeout{1};

} // namespace

HttpAdapter::HttpAdapter(EventLoop::Loop &loop, std::unique_ptr<Http::HttpClient> client, const BackendWatchOptions &options, BackendListener &listener)
    : m_loop(loop)
    , m_client(std::move(client))
    , m_options(options)
    , m_listener(listener)
    , m_watch(loop, *m_client, options, listener)
{
}

void HttpAdapter::start()
{
    m_watch.start();
}

void HttpAdapter::startRun(const Decisions::RequestRef &ref, const verbena::wire::Dispatch &dispatch, Core::TimePoint deadline)
{
    Core::Result<Http::HttpCall> call = makeCall(dispatch);
    if (!call) {
        BackendEnd end;
        end.kind = BackendEnd::Kind::Rejected;
        end.status = 400;
        end.detail = call.error().message;
        m_listener.finishRun(ref, end);
        return;
    }
    call.value().deadline = deadline + deadlineMargin;
    // The answer is sent on as it comes, and its reading pauses while the router takes none.
    call.value().limits.bodyBytes.reset();
    m_calls[ref] = m_client->start(call.value(), makeRunCall(ref));
}

void HttpAdapter::cancelRun(const Decisions::RequestRef &ref)
{
    const auto found = m_calls.find(ref);
    if (found != m_calls.end()) {
        m_client->cancel(found->second);
        m_calls.erase(found);
    }
}

void HttpAdapter::loseRuns(const std::string &detail)
{
    std::unordered_map<Decisions::RequestRef, Http::HttpCallId, Decisions::RequestRefHash> calls;
    calls.swap(m_calls);
    BackendEnd end;
    end.detail = detail;
    for (const auto &[ref, id] : calls) {
        m_client->cancel(id);
        m_listener.finishRun(ref, end);
    }
}

void HttpAdapter::pauseRun(const Decisions::RequestRef &ref)
{
    const auto found = m_calls.find(ref);
    if (found != m_calls.end()) {
        m_client->pause(found->second);
    }
}

void HttpAdapter::resumeRun(const Decisions::RequestRef &ref)
{
    const auto found = m_calls.find(ref);
    if (found != m_calls.end()) {
        m_client->resume(found->second);
    }
}

bool HttpAdapter::isUp() const
{
    return m_watch.isUp();
}

void HttpAdapter::noteEngineIncarnation(std::uint64_t incarnation)
{
    m_watch.noteIncarnation(incarnation);
}

void HttpAdapter::receiveCallOutput(const Decisions::RequestRef &ref, std::string_view text, std::uint32_t tokens)
{
    if (m_calls.contains(ref)) {
        m_listener.receiveOutput(ref, text, tokens);
    }
}

void HttpAdapter::finishCall(const Decisions::RequestRef &ref, const BackendEnd &end, const Core::Result<int> &status)
{
    if (m_calls.erase(ref) == 0) {
        return;
    }
    if (end.kind == BackendEnd::Kind::Complete && end.isUnframed) {
        checkServer(ref, end);
        return;
    }
    if (!status && end.kind == BackendEnd::Kind::NotSent) {
        m_watch.noteUnreachable(status.error());
    }
    m_listener.finishRun(ref, end);
}

// The connections of a process that ends are closed as regularly as one after a complete answer. Any answer shows that the server has not ended.
void HttpAdapter::checkServer(const Decisions::RequestRef &ref, const BackendEnd &end)
{
    Http::HttpCall call;
    call.url = m_options.url + "/load";
    call.deadline = m_loop.now() + serverCheckTimeout;
    call.limits.bodyBytes = Http::AnswerLimits::statusBodyBytes;
    const auto handle = [this, ref, end](const Core::Result<Http::HttpReply> &reply) {
        handleServerCheck(ref, end, reply.has_value());
    };
    m_calls[ref] = m_client->start(call, std::make_shared<Http::BodyCollector>(handle));
}

void HttpAdapter::handleServerCheck(const Decisions::RequestRef &ref, BackendEnd end, bool isUp)
{
    if (m_calls.erase(ref) == 0) {
        return;
    }
    if (!isUp) {
        end.kind = BackendEnd::Kind::Lost;
        end.detail = "The answer has no length, and the backend server does not answer after it.";
    }
    m_listener.finishRun(ref, end);
}

} // namespace Verbena::Agent
