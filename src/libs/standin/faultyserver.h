#pragma once

#include "faults.h"

#include <eventloop/timer.h>
#include <http/httpserver.h>

#include <functional>
#include <memory>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::Standin {

/// \brief HTTP server of a stand-in. Answers `POST /control` and applies the faults set by it before a request reaches the stand-in.
class FaultyServer : public Http::HttpHandler
{
public:
    /// \brief Creates a server on \a port of the loopback address that passes requests to \a handler. Errors: Unavailable.
    static Core::Result<std::unique_ptr<FaultyServer>> create(EventLoop::Loop &loop, std::uint16_t port, const Faults &faults, Http::HttpHandler &handler);

    std::uint16_t port() const;
    Faults &faults();

    /// \brief Sets the function that is called after each change of the faults.
    void setChangedCallback(std::function<void()> callback);

    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;

private:
    FaultyServer(EventLoop::Loop &loop, const Faults &faults, Http::HttpHandler &handler);
    Core::Result<void> listen(std::uint16_t port);
    void changeFaults(Http::HttpExchange &exchange);
    void applyFaults();
    void refuseConnections();

    EventLoop::Loop &m_loop;
    Faults m_faults;
    Http::HttpHandler &m_handler;
    std::function<void()> m_changedCallback;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<Http::HttpServer>> m_servers; ///< The last server listens; the earlier servers only serve their open connections.
    EventLoop::Timer m_acceptTimer;
};

} // namespace Verbena::Standin
