#pragma once

#include "platformstate.h"

#include <eventloop/timer.h>
#include <http/httpserver.h>

#include <memory>

namespace Verbena::Standin {

/// \brief Stands in for the platform over HTTP: table service, object store and host list.
///
/// POST /control changes the faults and hosts that it names; GET /control shows how often the platform was used.
class PlatformStandin : public Http::HttpHandler
{
public:
    static Core::Result<std::unique_ptr<PlatformStandin>> create(EventLoop::Loop &loop, std::uint16_t port);
    ~PlatformStandin() override;

    std::uint16_t port() const;
    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;

private:
    /// \brief An answer that is ready to be sent.
    struct Reply
    {
        int status = 200;
        std::string body;
    };

    explicit PlatformStandin(EventLoop::Loop &loop);
    Reply control(const Http::HttpExchange &exchange);
    Reply read(const Http::HttpExchange &exchange) const;
    Reply write(const Http::HttpExchange &exchange);
    void callAfter(std::chrono::milliseconds span, const std::function<void()> &callback);
    void answer(const std::shared_ptr<Http::HttpExchange> &exchange, Reply reply);

    EventLoop::Loop &m_loop;
    PlatformState m_state;
    std::vector<std::shared_ptr<Http::HttpExchange>> m_unanswered;
    std::vector<std::unique_ptr<EventLoop::Timer>> m_delayed;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Standin
