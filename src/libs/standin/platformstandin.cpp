#include "platformstandin.h"

#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <store/platformjson.h>

#include <nlohmann/json.hpp>

namespace Verbena::Standin {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
constexpr std::string_view objectsPath = "/objects/";

bool isWrite(const Http::HttpExchange &exchange)
{
    return exchange.path() == "/table/commit" || exchange.method() == "PUT";
}

Outage outageFrom(const std::string &name)
{
    return name == "refusing" ? Outage::Refusing : name == "silent" ? Outage::Silent : Outage::None;
}

void readMilliseconds(const json &request, const char *name, std::chrono::milliseconds &duration)
{
    duration = std::chrono::milliseconds(request.value(name, duration.count()));
}

PlatformFaults changedFaults(PlatformFaults faults, const json &request)
{
    faults.writesPerSecond = request.value("writes_per_second", faults.writesPerSecond);
    faults.readsPerSecond = request.value("reads_per_second", faults.readsPerSecond);
    faults.lostAnswers = request.value("lost_answers", faults.lostAnswers);
    faults.lostRequests = request.value("lost_requests", faults.lostRequests);
    faults.delayedWrites = request.value("delayed_writes", faults.delayedWrites);
    readMilliseconds(request, "write_delay_ms", faults.writeDelay);
    readMilliseconds(request, "slowness_ms", faults.answerDelay);
    readMilliseconds(request, "host_list_lag_ms", faults.hostListLag);
    if (request.contains("outage")) {
        faults.outage = outageFrom(request.at("outage").get<std::string>());
    }
    return faults;
}

} // namespace

Core::Result<std::unique_ptr<PlatformStandin>> PlatformStandin::create(EventLoop::Loop &loop, std::uint16_t port)
{
    std::unique_ptr<PlatformStandin> platform(new PlatformStandin(loop));
    Http::HttpServerOptions options;
    options.port = port;
    VERBENA_TRY(opened, Http::HttpServer::create(loop, options, *platform));
    platform->m_server = std::move(opened);
    return platform;
}

PlatformStandin::PlatformStandin(EventLoop::Loop &loop)
    : m_loop(loop)
{
}

PlatformStandin::~PlatformStandin() = default;

std::uint16_t PlatformStandin::port() const
{
    return m_server->port();
}

void PlatformStandin::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    if (exchange->path() == "/control") {
        const Reply reply = handleControl(*exchange);
        exchange->respond(reply.status, {{"Content-Type", "application/json"}}, reply.body);
        return;
    }
    const Core::TimePoint now = m_loop.now();
    const Admission admission = isWrite(*exchange) ? m_state.admitWrite(now) : m_state.admitRead(now);
    switch (admission) {
    case Admission::Serve:
        sendReply(exchange, isWrite(*exchange) ? write(*exchange) : read(*exchange));
        return;
    case Admission::ServeWithoutAnswer:
        write(*exchange);
        m_unanswered.push_back(exchange);
        return;
    case Admission::ServeLateWithoutAnswer:
        callAfter(m_state.faults().writeDelay, [this, exchange] { write(*exchange); });
        m_unanswered.push_back(exchange);
        return;
    case Admission::DropWithoutAnswer:
        m_unanswered.push_back(exchange);
        return;
    case Admission::OverBudget:
        sendReply(exchange, {statusTooManyRequests, "{}"});
        return;
    case Admission::Refused:
        sendReply(exchange, {statusUnavailable, "{}"});
        return;
    }
}

PlatformStandin::Reply PlatformStandin::handleControl(const Http::HttpExchange &exchange)
{
    const PlatformCounts &counts = m_state.counts();
    if (exchange.method() == "GET") {
        return {statusOk, json{{"reads", counts.reads}, {"writes", counts.writes}, {"over_budget", counts.overBudget}}.dump()};
    }
    try {
        const json request = json::parse(exchange.body());
        m_state.setFaults(changedFaults(m_state.faults(), request));
        if (request.contains("hosts")) {
            const auto hosts = Store::decodeHosts(exchange.body());
            if (!hosts) {
                return {statusBadRequest, json{{"error", hosts.error().message}}.dump()};
            }
            m_state.setHosts(hosts.value(), m_loop.now());
        }
        return {statusOk, "{}"};
    } catch (const json::exception &failure) {
        return {statusBadRequest, json{{"error", failure.what()}}.dump()};
    }
}

PlatformStandin::Reply PlatformStandin::read(const Http::HttpExchange &exchange) const
{
    const std::string &path = exchange.path();
    if (path == "/hosts") {
        return {statusOk, Store::encodeHosts(m_state.hosts(m_loop.now()))};
    }
    if (path.starts_with(objectsPath)) {
        const auto content = m_state.object(path.substr(objectsPath.size()));
        return content ? Reply{statusOk, *content} : Reply{statusNotFound, "{}"};
    }
    if (path == "/table/get") {
        const auto keys = Store::decodeKeys(exchange.body());
        return keys ? Reply{statusOk, Store::encodeRows(m_state.rows(keys.value()))} : Reply{statusBadRequest, "{}"};
    }
    if (path == "/table/scan") {
        const auto scan = Store::decodeScan(exchange.body());
        return scan ? Reply{statusOk, Store::encodeRows(m_state.scan(scan.value().prefix, scan.value().sinceRevision, scan.value().limit))}
                    : Reply{statusBadRequest, "{}"};
    }
    return {statusNotFound, "{}"};
}

PlatformStandin::Reply PlatformStandin::write(const Http::HttpExchange &exchange)
{
    if (exchange.path().starts_with(objectsPath)) {
        m_state.setObject(exchange.path().substr(objectsPath.size()), exchange.body());
        return {statusOk, "{}"};
    }
    const auto writes = Store::decodeWrites(exchange.body());
    if (!writes) {
        return {statusBadRequest, "{}"};
    }
    const Store::CommitAnswer result = m_state.commit(writes.value());
    if (result.outcome == Store::CommitOutcome::Conflict) {
        return {statusConflict, Store::encodeRows(result.current)};
    }
    return {statusOk, Store::encodeRevision(result.revision)};
}

void PlatformStandin::sendReply(const std::shared_ptr<Http::HttpExchange> &exchange, Reply reply)
{
    const auto send = [exchange, reply = std::move(reply)] {
        exchange->respond(reply.status, {{"Content-Type", "application/json"}}, reply.body);
    };
    if (m_state.faults().answerDelay.count() == 0) {
        send();
        return;
    }
    callAfter(m_state.faults().answerDelay, send);
}

void PlatformStandin::callAfter(std::chrono::milliseconds duration, const std::function<void()> &callback)
{
    std::erase_if(m_delayTimers, [](const auto &delayed) { return !delayed->isActive(); });
    m_delayTimers.push_back(std::make_unique<EventLoop::Timer>(m_loop, callback));
    m_delayTimers.back()->startAt(m_loop.now() + duration);
}

} // namespace Verbena::Standin
