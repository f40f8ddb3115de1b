#include "relaytest.h"

namespace Verbena::Test {

using namespace std::chrono_literals;

std::string answer(const Http::MessageHead &head, const std::string &body, const std::string &fields, const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nId: " + requestId(head) + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const Http::MessageHead &head, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nId: " + requestId(head) + "\r\nReceipt: r\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string unframedHead(const Http::MessageHead &head, const std::string &version, const std::string &status)
{
    return version + " " + status + "\r\nId: " + requestId(head) + "\r\nReceipt: r\r\n\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

RelayTest::RelayTest()
    : m_loop(std::move(EventLoop::Loop::create().value()))
    , m_relay(std::move(Relay::RelayTask::create(*m_loop, settings(), m_protocol).value()))
{
    EXPECT_TRUE(m_relay->listen());
}

Relay::RelaySettings RelayTest::settings()
{
    Relay::RelaySettings settings;
    settings.listen = Http::Endpoint::parse("127.0.0.1:0").value();
    settings.resend = {100, 0, 10s}; // Each request earns many resends; refusals by the budget have tests of their own.
    settings.routing.isProbing = false;
    settings.seed = 3;
    settings.weights.longestUse = 2s;
    settings.shutdownNotice = 50ms;
    settings.shutdownGrace = 30s;
    return settings;
}

Decisions::RelayRoute RelayTest::route(const std::string &prefix, Decisions::RequestKind kind, std::uint32_t attempts)
{
    Decisions::RelayRoute declared;
    declared.name = prefix;
    declared.host = "x";
    declared.prefix = prefix;
    declared.kind = kind;
    declared.timeout = 20s;
    declared.attempts = attempts;
    declared.services = {{"s", 1.0}};
    return declared;
}

Decisions::RelayConfiguration RelayTest::configuration(std::uint64_t version)
{
    Decisions::RelayConfiguration declared;
    declared.version = version;
    declared.routes = {route("/safe/", Decisions::RequestKind::Idempotent),
        route("/once/", Decisions::RequestKind::NonIdempotent),
        route("/stream/", Decisions::RequestKind::Streaming),
        route("/resume/", Decisions::RequestKind::Streaming)};
    declared.routes[3].isResumable = true;
    declared.organisations = {{"dams", {"k"}, std::nullopt, false}};
    declared.limits.bodyBytes = 1000;
    return declared;
}

WorkerFake &RelayTest::addWorker(WorkerFake::Answer script)
{
    m_workers.push_back(std::make_unique<WorkerFake>(*m_loop, std::move(script)));
    const std::string id = "server-" + std::to_string(m_workers.size());
    m_relay->fleet().servers().set({id, "s", m_workers.back()->address(), "hall", 6, false, {}});
    return *m_workers.back();
}

void RelayTest::start(WorkerFake::Answer script)
{
    m_relay->setConfiguration(configuration());
    addWorker(std::move(script));
}

void RelayTest::startOnOldWeights(WorkerFake::Answer script)
{
    start(std::move(script));
    m_relay->fleet().servers().set({"server-1", "s", m_workers[0]->address(), "hall", 6, false, {{"m", 1}}});
    EXPECT_TRUE(m_relay->fleet().recordWeightsAnnouncement("m", 1, m_loop->now()));
}

std::unique_ptr<CallerFake> RelayTest::waitingCaller(const std::string &path)
{
    startOnOldWeights([](const auto &, const auto &) { return WorkerScript{}; });
    auto client = caller();
    client->send(request(path, "Model: m\r\n"));
    EXPECT_TRUE(runUntil(*m_loop, [&] { return m_workers[0]->heads().size() == 1; }));
    return client;
}

Core::TimePoint RelayTest::announceNewWeights()
{
    addWorker([](const auto &head, const auto &) { return WorkerScript{streamHead(head) + chunk(event(1)) + "0\r\n\r\n"}; });
    m_relay->fleet().servers().set({"server-2", "s", m_workers[1]->address(), "hall", 6, false, {{"m", 2}}});
    const Core::TimePoint now = m_loop->now();
    EXPECT_TRUE(m_relay->fleet().recordWeightsAnnouncement("m", 2, now));
    return now;
}

std::unique_ptr<CallerFake> RelayTest::caller()
{
    return std::make_unique<CallerFake>(*m_loop, m_relay->endpoint());
}

std::string RelayTest::request(const std::string &path, const std::string &fields, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nId: a1\r\nKey: k\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string RelayTest::call(const std::string &text, const std::string &end)
{
    const auto client = caller();
    client->send(text);
    EXPECT_TRUE(runUntil(*m_loop, [&] { return client->isClosed() || client->received().find(end) != std::string::npos; })) << client->received();
    return client->received();
}

void RelayTest::runFor(std::chrono::milliseconds span)
{
    const Core::TimePoint end = m_loop->now() + span;
    EXPECT_TRUE(runUntil(*m_loop, [&] { return m_loop->now() >= end; }));
}

std::size_t RelayTest::runs() const
{
    std::size_t count = 0;
    for (const auto &worker : m_workers) {
        count += worker->heads().size();
    }
    return count;
}

double RelayTest::metric(const std::string &name) const
{
    const std::string text = "\n" + m_relay->metrics().renderPrometheus();
    const std::size_t at = text.find("\nverbena_" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(text.find(' ', at)));
}

} // namespace Verbena::Test
