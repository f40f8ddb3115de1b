#include "faultyserver.h"

#include <eventloop/loop.h>

#include <cstdlib>
#include <iostream>

namespace Verbena::Standin {

namespace {

constexpr unsigned maximumConnections = 10'000;

} // namespace

Core::Result<std::unique_ptr<FaultyServer>> FaultyServer::create(EventLoop::Loop &loop, std::uint16_t port, const Faults &faults, Http::HttpHandler &handler)
{
    std::unique_ptr<FaultyServer> server(new FaultyServer(loop, faults, handler));
    BOOST_OUTCOME_TRY(server->listen(port));
    server->applyFaults();
    return server;
}

FaultyServer::FaultyServer(EventLoop::Loop &loop, const Faults &faults, Http::HttpHandler &handler)
    : m_loop(loop)
    , m_faults(faults)
    , m_handler(handler)
    , m_acceptTimer(loop, [this] {
        if (!listen(m_port)) {
            std::cerr << "Port " << m_port << " cannot be reopened.\n";
            std::_Exit(EXIT_FAILURE);
        }
    })
{
}

std::uint16_t FaultyServer::port() const
{
    return m_port;
}

Faults &FaultyServer::faults()
{
    return m_faults;
}

void FaultyServer::setChangedCallback(std::function<void()> callback)
{
    m_changedCallback = std::move(callback);
}

Core::Result<void> FaultyServer::listen(std::uint16_t port)
{
    Http::HttpServerOptions options;
    options.port = port;
    options.maximumConnections = maximumConnections;
    VERBENA_TRY(opened, Http::HttpServer::create(m_loop, options, *this));
    m_port = opened->port();
    m_servers.push_back(std::move(opened));
    return Core::success();
}

void FaultyServer::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    if (exchange->path() == "/control") {
        changeFaults(*exchange);
        return;
    }
    if (m_faults.isHanging) {
        return;
    }
    if (m_acceptTimer.isActive()) {
        exchange->abortStream();
        return;
    }
    m_handler.handleRequest(exchange);
}

void FaultyServer::changeFaults(Http::HttpExchange &exchange)
{
    const Core::Result<Faults> changed = m_faults.withChanges(exchange.body());
    if (!changed) {
        exchange.respond(400, {}, changed.error().toString() + "\n");
        return;
    }
    m_faults = changed.value();
    exchange.respond(200, {}, "");
    applyFaults();
    if (m_changedCallback) {
        m_changedCallback();
    }
}

void FaultyServer::applyFaults()
{
    if (m_faults.crash == CrashPoint::Now) {
        std::_Exit(EXIT_FAILURE);
    }
    if (m_faults.refuseConnections.count() > 0) {
        refuseConnections();
    }
}

void FaultyServer::refuseConnections()
{
    m_acceptTimer.startAt(m_loop.now() + m_faults.refuseConnections);
    m_faults.refuseConnections = std::chrono::milliseconds(0);
    m_servers.back()->stopListening();
}

} // namespace Verbena::Standin
