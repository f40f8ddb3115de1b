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

/// \brief Listening address, limits and TLS certificate of an HttpServer.
struct HttpServerOptions
{
    std::string address = "127.0.0.1"; ///< IPv4 address to listen on.
    std::uint16_t port = 0; ///< Port to listen on; 0 lets the system choose.
    std::size_t maximumBodyBytes = 8 * 1024 * 1024; ///< Maximum length of a request body; longer ones are answered with 413.
    std::size_t maximumHeaderBytes = 32 * 1024; ///< Memory for the header fields of one connection.
    unsigned maximumConnections = 4096; ///< Maximum number of connections; further ones are closed at once.
    std::chrono::seconds idleTimeout{60}; ///< Time without traffic after which a connection is closed.
    std::string certificatePem; ///< TLS certificate chain; empty means plain HTTP.
    std::string privateKeyPem; ///< TLS private key; empty means plain HTTP.
};

/// \brief An HTTP/1.1 server on one event loop, based on libmicrohttpd.
class HttpServer
{
public:
    /// \brief Creates a server and starts listening. Errors: InvalidArgument, if the address is not an IPv4 address; Unavailable, if it cannot be bound.
    static Core::Result<std::unique_ptr<HttpServer>> create(EventLoop::Loop &loop, const HttpServerOptions &options, HttpHandler &handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \brief Returns the port in use, also if the system chose it.
    std::uint16_t port() const;

    /// \brief Returns the number of requests whose response is not complete yet.
    std::size_t openExchangeCount() const;

    /// \brief Returns the number of connections, including idle ones.
    std::size_t connectionCount() const;

    /// \brief Accepts the connections that wait and closes the listening socket; open connections stay usable.
    void stopListening();

    /// \brief Reads what has arrived on all connections, so that openExchangeCount() includes these requests.
    void readArrived();

private:
    friend class HttpExchange;
    struct Callbacks;

    HttpServer(EventLoop::Loop &loop, const HttpServerOptions &options, HttpHandler &handler);
    void scheduleRun();
    void runDaemon();
    void abortOpenExchanges();
    bool hasWaitingConnection() const;

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
