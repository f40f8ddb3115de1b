#include "servercheck.h"

#include <eventloop/loop.h>

#include <utility>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Time that the server has to say who it is. A process that is not the one that is asked for says so at once.
constexpr milliseconds questionTimeout{120};

} // namespace

ServerCheck::ServerCheck(
    EventLoop::Loop &loop, const RelayProtocol &protocol, const Decisions::ServerInstance &server, const std::string &healthPath, Callback done)
    : m_loop(loop)
    , m_protocol(protocol)
    , m_server(server)
    , m_healthPath(healthPath)
    , m_done(std::move(done))
    , m_timer(loop, [this] {
        // Moved out because the callback may destroy this check.
        const Callback callback = std::move(m_done);
        callback(m_finding);
    })
{
    const auto endpoint = Http::Endpoint::parse(server.address);
    if (!endpoint) {
        finish(Finding::Unknown);
        return;
    }
    m_endpoint = endpoint.value();
    m_connection = std::make_unique<ConnectCheck>(
        loop, m_endpoint, loop.now() + BackendCall::connectTimeout, [this](ConnectCheck::Finding finding) { handleConnection(finding); });
}

ServerCheck::~ServerCheck() = default;

void ServerCheck::handleConnection(ConnectCheck::Finding finding)
{
    const std::unique_ptr<ConnectCheck> ended = std::move(m_connection);
    if (finding == ConnectCheck::Finding::Listening && !m_healthPath.empty()) {
        askWho();
    } else if (finding == ConnectCheck::Finding::Listening) {
        finish(Finding::Running);
    } else {
        finish(finding == ConnectCheck::Finding::Refused ? Finding::Ended : Finding::Unknown);
    }
}

void ServerCheck::askWho()
{
    Http::MessageHead head;
    head.method = "GET";
    head.target = m_healthPath;
    head.fields = {{"Host", m_server.address}};
    CallContext context;
    context.serverId = m_server.id;
    context.timeLeft = questionTimeout;
    const Core::TimePoint deadline = m_loop.now() + questionTimeout;
    auto call = BackendCall::create(m_loop, m_endpoint, callMessage(m_protocol, head, nullptr, context), {.isRepeatable = true}, deadline, *this);
    if (!call) {
        finish(Finding::Unknown);
        return;
    }
    m_question = std::move(call.value());
    m_finding = Finding::Running;
    m_timer.startAt(deadline);
}

// Reports through the timer so that the callback does not destroy the call while the call is notifying this object.
void ServerCheck::finish(Finding finding)
{
    m_finding = finding;
    m_timer.startAt(m_loop.now());
}

void ServerCheck::receiveAnswerHead(const Http::MessageHead &head)
{
    m_isAnswered = true;
    const AnswerMarks marks = m_protocol.readAnswer(head);
    const bool isOther = marks.isMisdirected || (!marks.serverId.empty() && marks.serverId != m_server.id);
    finish(isOther ? Finding::Ended : Finding::Running);
}

void ServerCheck::receiveAnswerBody(std::string_view)
{
}

void ServerCheck::receiveAnswerEnd()
{
}

// An answer that breaks off after its head has said already who gave it.
void ServerCheck::callFailed(Decisions::CallFailure, std::string_view)
{
    if (!m_isAnswered) {
        finish(Finding::Unknown);
    }
}

} // namespace Verbena::Relay
