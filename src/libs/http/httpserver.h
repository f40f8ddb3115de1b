#pragma once

#include "httpexchange.h"

#include <core/result.h>
#include <eventloop/deferredcall.h>
#include <eventloop/iowatcher.h>
#include <eventloop/timer.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

struct MHD_Daemon;

namespace Verbena::Http {

/// \brief What a server listens on and what it lets in.
struct HttpServerOptions
{
    std::string address = "127.0.0.1"; ///< IP number to listen on.
    std::uint16_t port = 0; ///< 0 lets the system choose.
    std::size_t maximumBodyBytes = 8 * 1024 * 1024; ///< A longer request body is answered with 413.
    std::size_t maximumHeaderBytes = 32 * 1024; ///< Memory for one connection's header fields.
    unsigned maximumConnections = 4096; ///< Further connections are closed at once.
    std::chrono::seconds idleTimeout{60}; ///< A connection without traffic is closed after this.
    std::string certificatePem; ///< TLS certificate chain; empty means plain HTTP.
    std::string privateKeyPem; ///< TLS private key; empty means plain HTTP.
};

/// \brief An HTTP/1.1 server by libmicrohttpd on one event loop.
class HttpServer
{
public:
    /// \brief Starts to listen. Errors: Unavailable, if the address cannot be had.
    static Core::Result<std::unique_ptr<HttpServer>> create(EventLoop::Loop &loop, const HttpServerOptions &options, HttpHandler &handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \brief The port in use, also when the system chose it.
    std::uint16_t port() const;

    /// \brief The number of requests that have no whole answer yet.
    std::size_t openExchangeCount() const;

    /// \brief The number of connections, those that wait for a next request among them.
    std::size_t connectionCount() const;

    /// \brief Closes the listening socket; open connections go on.
    void stopListening();

private:
    friend class HttpExchange;
    struct Callbacks;

    HttpServer(EventLoop::Loop &loop, const HttpServerOptions &options, HttpHandler &handler);
    void scheduleRun();
    void runDaemon();
    void abortOpenExchanges();

    EventLoop::Loop &m_loop;
    HttpServerOptions m_options;
    HttpHandler &m_handler;
    MHD_Daemon *m_daemon = nullptr;
    std::unordered_set<HttpExchange *> m_openExchanges;
    std::unique_ptr<EventLoop::IoWatcher> m_watcher;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_run;
};

} // namespace Verbena::Http
