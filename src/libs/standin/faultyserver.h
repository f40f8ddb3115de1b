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

/// \brief The HTTP server of a stand-in: answers `POST /control` and does wrong what it was told to, before the stand-in sees a request.
class FaultyServer : public Http::HttpHandler
{
public:
    /// \brief Listens on \a port of the loopback address. Errors: Unavailable.
    static Core::Result<std::unique_ptr<FaultyServer>> create(EventLoop::Loop &loop, std::uint16_t port, const Faults &faults, Http::HttpHandler &handler);

    std::uint16_t port() const;
    Faults &faults();

    /// \brief Called after each change of the faults.
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
    std::vector<std::unique_ptr<Http::HttpServer>> m_servers; ///< The last one listens; the others end their connections.
    EventLoop::Timer m_acceptTimer;
};

} // namespace Verbena::Standin
