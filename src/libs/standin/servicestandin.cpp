#include "servicestandin.h"

#include "answertext.h"
#include "incarnation.h"

#include <eventloop/loop.h>

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace Verbena::Standin {

namespace {

using nlohmann::json;

} // namespace

Core::Result<std::unique_ptr<ServiceStandin>> ServiceStandin::create(EventLoop::Loop &loop, const ServiceOptions &options)
{
    std::unique_ptr<ServiceStandin> service(new ServiceStandin(loop, options));
    ServiceStandin *self = service.get();
    VERBENA_TRY(opened, FaultyServer::create(loop, options.port, options.faults, *service));
    service->m_server = std::move(opened);
    service->m_server->setChangedCallback([self] { self->finishDueCalls(); });
    return service;
}

ServiceStandin::ServiceStandin(EventLoop::Loop &loop, const ServiceOptions &options)
    : m_loop(loop)
    , m_options(options)
    , m_incarnation(newIncarnation())
    , m_timer(loop, [this] { finishDueCalls(); })
{
}

std::uint16_t ServiceStandin::port() const
{
    return m_server->port();
}

void ServiceStandin::respond(Http::HttpExchange &exchange, int status, std::string body) const
{
    exchange.respond(status, {{"Content-Type", "application/json"}, {"Engine-Incarnation", std::to_string(m_incarnation)}}, std::move(body));
}

void ServiceStandin::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    if (exchange->method() == "POST") {
        startCall(exchange);
    } else if (exchange->path() == "/load") {
        respond(*exchange, 200, json{{"incarnation", m_incarnation}, {"running", m_calls.size()}, {"queued", 0}}.dump());
    } else if (exchange->path() == "/runs") {
        respond(*exchange, 200, m_runs.toJson(m_incarnation));
    } else {
        respond(*exchange, 404, R"({"error":{"message":"There is no such path."}})");
    }
}

void ServiceStandin::startCall(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    if (m_server->faults().crash == CrashPoint::BeforeAdmission) {
        std::_Exit(EXIT_FAILURE);
    }
    // A call that has started takes effect, whether its caller waits for the answer or not.
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(m_options.callDuration * m_server->faults().slowFactor);
    m_calls.push_back({m_runs.start(*exchange), exchange, m_loop.now() + duration});
    if (!m_timer.isActive()) {
        m_timer.startAt(m_calls.back().endsAt);
    }
}

void ServiceStandin::finishDueCalls()
{
    if (m_server->faults().isHanging) {
        return;
    }
    const Core::TimePoint now = m_loop.now();
    while (!m_calls.empty() && m_calls.front().endsAt <= now) {
        finishCall(m_calls.front());
        m_calls.pop_front();
    }
    if (!m_calls.empty()) {
        m_timer.startAt(m_calls.front().endsAt);
    }
}

void ServiceStandin::finishCall(const Call &call)
{
    Faults &faults = m_server->faults();
    m_runs.setState(call.run, RunState::Finished);
    if (faults.crash == CrashPoint::AfterLastToken || faults.crash == CrashPoint::AtToken) {
        std::_Exit(EXIT_FAILURE);
    }
    if (faults.isLosingAnswers || faults.cutAfterTokens) {
        faults.recordOccurrence();
        call.exchange->abortStream();
        return;
    }
    const std::string name = call.exchange->path().substr(1);
    const std::string answer = AnswerText(call.exchange->body()).firstTokens(answerTokens);
    respond(*call.exchange, 200, json{{"call", name}, {"answer", answer}}.dump());
}

} // namespace Verbena::Standin
