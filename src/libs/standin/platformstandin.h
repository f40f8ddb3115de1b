#pragma once

#include "platformstate.h"

#include <eventloop/timer.h>
#include <http/httpserver.h>

#include <memory>

namespace Verbena::Standin {

/// \brief Simulated platform with an HTTP interface: table service, object store and host list.
///
/// `POST /control` changes the faults and hosts in its body; `GET /control` returns the operation counts.
class PlatformStandin : public Http::HttpHandler
{
public:
    static Core::Result<std::unique_ptr<PlatformStandin>> create(EventLoop::Loop &loop, std::uint16_t port);
    ~PlatformStandin() override;

    std::uint16_t port() const;
    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;

private:
    /// \brief Answer to be sent.
    struct Reply
    {
        int status = 200;
        std::string body;
    };

    explicit PlatformStandin(EventLoop::Loop &loop);
    Reply handleControl(const Http::HttpExchange &exchange);
    Reply read(const Http::HttpExchange &exchange) const;
    Reply write(const Http::HttpExchange &exchange);
    void callAfter(std::chrono::milliseconds duration, const std::function<void()> &callback);
    void sendReply(const std::shared_ptr<Http::HttpExchange> &exchange, Reply reply);

    EventLoop::Loop &m_loop;
    PlatformState m_state;
    std::vector<std::shared_ptr<Http::HttpExchange>> m_unanswered;
    std::vector<std::unique_ptr<EventLoop::Timer>> m_delayTimers;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Standin
