#include "crashingfleet.h"

#include <eventloop/loop.h>

#include <algorithm>

namespace Verbena::Test {

using namespace std::chrono_literals;

namespace {

// Time from the arrival of the crashing body until the server ends; at least one iteration of the event loop.
constexpr auto lookPeriod = 2ms;

// Time from the arrival of the crashing part until the engine ends. What arrives meanwhile waits for its answer and ends with the engine.
constexpr auto engineEndDelay = 30ms;

std::string fieldOf(const Http::MessageHead &head, const char *name)
{
    const std::string *value = head.field(name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

CrashingFleet::CrashingFleet(EventLoop::Loop &loop,
    StoreStandin &store,
    const std::string &ip,
    const std::string &service,
    std::size_t count,
    std::chrono::milliseconds downTime,
    Kind kind)
    : m_loop(loop)
    , m_store(store)
    , m_ip(ip)
    , m_service(service)
    , m_downTime(downTime)
    , m_kind(kind)
    , m_servers(count)
    , m_timer(loop, [this] { look(); })
{
    for (std::size_t index = 0; index < count; ++index) {
        start(index);
    }
    m_timer.startAt(m_loop.now() + lookPeriod);
}

CrashingFleet::~CrashingFleet() = default;

const std::vector<Core::TimePoint> &CrashingFleet::crashes() const
{
    return m_crashes;
}

std::size_t CrashingFleet::retriesAfter(std::size_t knownCrashes) const
{
    if (m_crashes.size() < knownCrashes) {
        return 0;
    }
    const Core::TimePoint known = m_crashes[knownCrashes - 1] + contactTime;
    return static_cast<std::size_t>(std::count_if(m_crashes.begin(), m_crashes.end(), [known](Core::TimePoint at) { return at > known; }));
}

int CrashingFleet::served() const
{
    return m_served;
}

void CrashingFleet::crashAll()
{
    for (Server &server : m_servers) {
        server.isEnding = true;
    }
}

void CrashingFleet::cure()
{
    m_isCured = true;
}

void CrashingFleet::start(std::size_t index)
{
    Server &server = m_servers[index];
    server.process = std::make_unique<WorkerFake>(
        m_loop,
        [this, index](const Http::MessageHead &head, const std::string &body) { return answer(index, head, body); },
        server.address.empty() ? m_ip + ":0" : server.address);
    server.address = server.process->address();
    server.id = m_service + '-' + std::to_string(index) + "-life-" + std::to_string(++server.life);
    m_store.put("servers",
        server.id,
        {{"service", m_service},
            {"address", server.address},
            {"zone", "hall"},
            {"slots", 96},
            {"phase", "ready"},
            {"models", m_kind == Kind::Engines ? nlohmann::json{{{"name", "m"}, {"version", 1}}} : nlohmann::json::array()},
            {"sequence", 1}});
}

bool CrashingFleet::isCrashing(const Http::MessageHead &head, const std::string &body) const
{
    if (m_isCured) {
        return false;
    }
    return m_kind == Kind::Plain ? body == crashingBody : fieldOf(head, "Verbenaladder-Prompt-Prefix").find(crashingPart) != std::string::npos;
}

WorkerScript CrashingFleet::crash(Server &server, const std::string &fields)
{
    m_crashes.push_back(m_loop.now());
    server.endTime = server.isEnding ? server.endTime : m_loop.now() + (m_kind == Kind::Engines ? engineEndDelay : 0ms);
    server.isEnding = true;
    return {m_kind == Kind::Engines ? "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" : ""};
}

WorkerScript CrashingFleet::answer(std::size_t index, const Http::MessageHead &head, const std::string &body)
{
    Server &server = m_servers[index];
    const auto whole = [](const std::string &fields, const std::string &content) {
        return WorkerScript{"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content};
    };
    if (head.target.starts_with("/kv-events")) {
        return whole("", R"({"bootEpoch":1,"next":1,"lost":false,"events":[]})");
    }
    if (fieldOf(head, "Verbenaladder-Expect-Instance") != server.id) {
        return {"HTTP/1.1 421 Misdirected\r\nVerbenaladder-Instance-Id: " + server.id + "\r\nContent-Length: 0\r\n\r\n"};
    }
    const std::string fields = "Verbenaladder-Attempt-Id: " + fieldOf(head, "Verbenaladder-Attempt-Id") + "\r\nVerbenaladder-Server-Stamp: stamp\r\n";
    if (isCrashing(head, body)) {
        return crash(server, fields);
    }
    if (server.isEnding) {
        return {};
    }
    ++m_served;
    return whole(fields, m_kind == Kind::Engines ? "id: 1\ndata: ok\n\n" : "ok");
}

void CrashingFleet::look()
{
    const Core::TimePoint now = m_loop.now();
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        Server &server = m_servers[index];
        if (server.isEnding && server.process != nullptr && now >= server.endTime) {
            server.process.reset();
            server.backTime = now + m_downTime;
        } else if (server.process == nullptr && now >= server.backTime) {
            server.isEnding = false;
            m_store.remove("servers", server.id);
            start(index);
        }
    }
    m_timer.startAt(now + lookPeriod);
}

} // namespace Verbena::Test
