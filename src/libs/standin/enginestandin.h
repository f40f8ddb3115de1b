#pragma once

#include <http/httpserver.h>

#include <memory>

namespace Verbena::Standin {

/// \brief Stands in for a model engine: answers completions over HTTP as such engines do.
class EngineStandin : public Http::HttpHandler
{
public:
    static Core::Result<std::unique_ptr<EngineStandin>> create(EventLoop::Loop &loop, std::uint16_t port);

    std::uint16_t port() const;
    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;

private:
    EngineStandin() = default;

    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Standin
