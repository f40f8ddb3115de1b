#include "agentharness.h"

#include <eventloop/timer.h>

namespace Verbena::Test {

namespace {

constexpr std::chrono::seconds patience{30};
constexpr std::chrono::milliseconds pollInterval{5};
constexpr std::chrono::microseconds dispatchDeadline = std::chrono::seconds(60);

std::string keyOf(const std::string &request, std::uint32_t attempt)
{
    return request + "#" + std::to_string(attempt);
}

} // namespace

FakeRouter::FakeRouter(EventLoop::Loop &loop, const std::string &endpoint, const Wire::SocketSecurity &security)
    : m_socket(std::move(Wire::MessageSocket::connect(loop, m_context, endpoint, security, *this).value()))
{
}

void FakeRouter::send(const verbena::wire::Envelope &message)
{
    static_cast<void>(m_socket->send({}, message));
}

void FakeRouter::sendHello()
{
    verbena::wire::Envelope envelope;
    envelope.mutable_hello()->set_name("router");
    send(envelope);
}

void FakeRouter::dispatch(const verbena::wire::Dispatch &dispatch)
{
    verbena::wire::Envelope envelope;
    *envelope.mutable_dispatch() = dispatch;
    send(envelope);
}

void FakeRouter::cancel(const std::string &request, std::uint32_t attempt)
{
    verbena::wire::Envelope envelope;
    envelope.mutable_cancel()->set_request(request);
    envelope.mutable_cancel()->set_attempt(attempt);
    send(envelope);
}

void FakeRouter::grant(const std::string &request, std::uint32_t frames)
{
    verbena::wire::Envelope envelope;
    envelope.mutable_credit()->set_request(request);
    envelope.mutable_credit()->set_attempt(1);
    envelope.mutable_credit()->set_frames(frames);
    send(envelope);
}

ReceivedAttempt &FakeRouter::attempt(const std::string &request, std::uint32_t attempt)
{
    return m_attempts[keyOf(request, attempt)];
}

void FakeRouter::receiveMessage(const std::string &, const verbena::wire::Envelope &message)
{
    if (message.has_welcome()) {
        welcome = message.welcome();
    } else if (message.has_probe_reply()) {
        probeReply = message.probe_reply();
    } else if (message.has_admitted()) {
        attempt(message.admitted().request(), message.admitted().attempt()).isAdmitted = true;
    } else if (message.has_refused()) {
        attempt(message.refused().request(), message.refused().attempt()).refused = message.refused();
    } else if (message.has_frame()) {
        receiveFrame(message.frame());
    } else if (message.has_ended()) {
        ReceivedAttempt &received = attempt(message.ended().request(), message.ended().attempt());
        received.isInOrder = received.isInOrder && !received.isOver() && message.ended().sequence() == received.frames + 1;
        received.ended = message.ended();
    }
}

void FakeRouter::receiveFrame(const verbena::wire::Frame &frame)
{
    ReceivedAttempt &received = attempt(frame.request(), frame.attempt());
    received.isInOrder = received.isInOrder && !received.isOver() && frame.sequence() == received.frames + 1;
    ++received.frames;
    received.text += frame.text();
    received.tokens += frame.tokens();
}

void FakeRouter::receiveInvalidMessage(const std::string &)
{
}

AgentHarness::AgentHarness(const std::string &role, const std::vector<std::string> &arguments, const std::string &settings)
    : loop(std::move(EventLoop::Loop::create().value()))
    , m_role(role)
    , m_arguments(arguments)
    , m_settings(settings)
{
    startBackend();
    startAgent();
}

bool AgentHarness::runUntil(const std::function<bool()> &isDone)
{
    const Core::TimePoint end = loop->now() + patience;
    EventLoop::Timer timer(*loop, [&] {
        if (isDone() || loop->now() > end) {
            loop->stop();
        } else {
            timer.startAt(loop->now() + pollInterval);
        }
    });
    timer.startAt(loop->now());
    loop->run();
    return isDone();
}

std::unique_ptr<FakeRouter> AgentHarness::connect(const Wire::SocketSecurity &security)
{
    auto router = std::make_unique<FakeRouter>(*loop, endpoint, security);
    const bool isWelcome = runUntil([&router] {
        router->sendHello();
        return router->welcome.has_value();
    });
    return isWelcome ? std::move(router) : nullptr;
}

void AgentHarness::startBackend(const std::string &port)
{
    backend.reset();
    std::vector<std::string> arguments{m_role, "--port", port};
    arguments.insert(arguments.end(), m_arguments.begin(), m_arguments.end());
    backend = std::make_unique<ChildProcess>("verbena-standin", arguments);
    m_backendAddress = backend->waitForLine("listening http ");
}

void AgentHarness::startAgent()
{
    agent.reset();
    const std::string leaveGrace = m_settings.find("leave_grace:") == std::string::npos ? "leave_grace: 10ms\n" : "";
    const std::string text = "name: agent1\nendpoint: \"" + (endpoint.empty() ? "tcp://127.0.0.1:*" : endpoint) + "\"\nbackend_url: http://" + m_backendAddress
        + "\nkind: " + m_role + "\nstatus: {port: 0}\n" + leaveGrace + m_settings;
    agent = std::make_unique<ChildProcess>("verbena-agent", std::vector<std::string>{"--settings", folder.write("agent.yaml", text)});
    m_statusAddress = agent->waitForLine("listening status ");
    endpoint = agent->waitForLine("listening zmq ");
}

void AgentHarness::setFaults(const std::string &json) const
{
    sendHttp("POST", "http://" + m_backendAddress + "/control", {}, json);
}

nlohmann::json AgentHarness::status() const
{
    return nlohmann::json::parse(sendHttp("GET", "http://" + m_statusAddress + "/status", {}, {}).body, nullptr, false);
}

std::string AgentHarness::metrics() const
{
    return sendHttp("GET", "http://" + m_statusAddress + "/metrics", {}, {}).body;
}

nlohmann::json AgentHarness::runs() const
{
    return nlohmann::json::parse(sendHttp("GET", "http://" + m_backendAddress + "/runs", {}, {}).body)["runs"];
}

std::size_t AgentHarness::runCount(const std::string &request) const
{
    const nlohmann::json all = runs();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&request](const auto &run) { return run["request"] == request; }));
}

std::string AgentHarness::backendUrl() const
{
    return "http://" + m_backendAddress;
}

std::string AgentHarness::backendPort() const
{
    return m_backendAddress.substr(m_backendAddress.rfind(':') + 1);
}

verbena::wire::Dispatch completion(const std::string &request, const std::string &prompt, std::uint32_t tokens)
{
    verbena::wire::Dispatch dispatch;
    dispatch.set_request(request);
    dispatch.set_attempt(1);
    dispatch.set_organisation("kessick");
    dispatch.set_team("dams");
    dispatch.set_model("analyst");
    dispatch.set_maximum_tokens(tokens);
    dispatch.set_prompt_tokens(static_cast<std::uint32_t>(prompt.size() / 4));
    dispatch.set_deadline_left_us(static_cast<std::uint64_t>(dispatchDeadline.count()));
    dispatch.set_idempotent(true);
    dispatch.set_path("/v1/completions");
    dispatch.set_body(nlohmann::json{{"model", "analyst"}, {"prompt", prompt}, {"max_tokens", tokens}}.dump());
    return dispatch;
}

} // namespace Verbena::Test
