#include "httpserver.h"

#include "fieldtext.h"
#include "requesttarget.h"
#include "socketbuffers.h"

#include <eventloop/loop.h>

#include <microhttpd.h>

#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <unistd.h>

namespace Verbena::Http {

namespace {

// An oversized body of unknown length is read and discarded up to this multiple of the limit, so that its sender receives the response.
constexpr std::size_t maximumDiscardFactor = 4;

// Bounds the loop, as a server at its limit of connections accepts none; each run accepts several of those that wait.
constexpr int maximumRunsToAccept = 200;

// Returns the path of a request whose target may be in absolute form.
std::string pathOf(const std::string &target)
{
    MessageHead head;
    head.target = target;
    head.fields = {{MHD_HTTP_HEADER_HOST, ""}};
    useOriginForm(head);
    return head.target;
}

} // namespace

// Callbacks of libmicrohttpd, which are plain functions; their context arguments are the server and the exchange.
struct HttpServer::Callbacks
{
    using Handle = std::shared_ptr<HttpExchange>;

    static MHD_Result onAccess(
        void *context, MHD_Connection *connection, const char *url, const char *method, const char *version, const char *data, std::size_t *size, void **slot)
    {
        auto *server = static_cast<HttpServer *>(context);
        if (*slot == nullptr) {
            auto *created = new Handle(new HttpExchange(server));
            (*created)->m_connection = connection;
            (*created)->m_method = method;
            (*created)->m_path = pathOf(url);
            (*created)->m_isKeptByCaller = std::string_view(version) == MHD_HTTP_VERSION_1_1 && !asksForEnd(**created);
            *slot = created;
            return refuseAnnouncedBody(*server, **created);
        }
        const Handle exchange = *static_cast<Handle *>(*slot);
        if (*size > 0) {
            const bool isGoingOn = receive(*server, *exchange, std::string_view(data, *size));
            *size = 0;
            return isGoingOn ? MHD_YES : MHD_NO;
        }
        if (exchange->m_state == HttpExchange::State::Receiving) {
            exchange->m_state = HttpExchange::State::Waiting;
            deliver(*server, exchange);
        }
        return answerOrWait(*exchange);
    }

    static bool asksForEnd(const HttpExchange &exchange)
    {
        const std::string options = exchange.header(MHD_HTTP_HEADER_CONNECTION).value_or("");
        bool isClosing = false;
        forEachItem(options, [&isClosing](std::string_view option) { isClosing = isClosing || isSameFieldName(option, "close"); });
        return isClosing;
    }

    // Answers a request whose Content-Length is too large before its body is sent.
    static MHD_Result refuseAnnouncedBody(HttpServer &server, HttpExchange &exchange)
    {
        const std::string announced = exchange.header(MHD_HTTP_HEADER_CONTENT_LENGTH).value_or("0");
        std::uint64_t size = 0;
        std::from_chars(announced.data(), announced.data() + announced.size(), size);
        if (size <= server.m_options.maximumBodyBytes) {
            return MHD_YES;
        }
        exchange.m_isTooLarge = true;
        exchange.m_state = HttpExchange::State::Waiting;
        respondTooLarge(exchange);
        return exchange.queueResponse() == MHD_YES ? MHD_YES : MHD_NO;
    }

    // Returns false if the body exceeds the limit by far; the connection is then closed.
    static bool receive(const HttpServer &server, HttpExchange &exchange, std::string_view data)
    {
        exchange.m_receivedBytes += data.size();
        if (exchange.m_body.size() + data.size() > server.m_options.maximumBodyBytes) {
            exchange.m_isTooLarge = true;
            exchange.m_body.clear();
        }
        if (!exchange.m_isTooLarge) {
            exchange.m_body.append(data);
        }
        return exchange.m_receivedBytes <= maximumDiscardFactor * server.m_options.maximumBodyBytes;
    }

    static void deliver(HttpServer &server, const Handle &exchange)
    {
        if (exchange->m_isTooLarge) {
            respondTooLarge(*exchange);
        } else {
            server.m_handler.handleRequest(exchange);
        }
    }

    static void respondTooLarge(HttpExchange &exchange)
    {
        exchange.respond(MHD_HTTP_CONTENT_TOO_LARGE,
            {{"Content-Type", "application/json"}, {"Verbena-Run", "not-run"}},
            R"({"error":{"message":"The request body is too large.","type":"invalid_request_error","code":"body_too_large"}})");
    }

    static MHD_Result answerOrWait(HttpExchange &exchange)
    {
        if (exchange.m_isQueued) {
            return MHD_YES;
        }
        if (exchange.m_state == HttpExchange::State::Waiting) {
            exchange.suspend();
            return MHD_YES;
        }
        if (exchange.m_state == HttpExchange::State::Aborted) {
            return MHD_NO;
        }
        return exchange.queueResponse() == MHD_YES ? MHD_YES : MHD_NO;
    }

    static void onCompleted(void *, MHD_Connection *, void **slot, MHD_RequestTerminationCode)
    {
        auto *exchange = static_cast<Handle *>(*slot);
        if (exchange == nullptr) {
            return;
        }
        (*exchange)->onCompleted();
        delete exchange;
        *slot = nullptr;
    }
};

Core::Result<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop::Loop &loop, const HttpServerOptions &options, HttpHandler &handler)
{
    const std::string peer = options.address + ":" + std::to_string(options.port);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "http.listen", peer, "The address is not an IPv4 address."};
    }
    std::unique_ptr<HttpServer> server(new HttpServer(loop, options, handler));
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    std::vector<MHD_OptionItem> items{
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<intptr_t>(options.maximumHeaderBytes), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options.maximumConnections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options.idleTimeout.count()), nullptr},
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&Callbacks::onCompleted), nullptr},
    };
    if (!options.certificatePem.empty()) {
        flags |= MHD_USE_TLS;
        items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, server->m_options.certificatePem.data()});
        items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, server->m_options.privateKeyPem.data()});
    }
    items.push_back({MHD_OPTION_END, 0, nullptr});
    server->m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &Callbacks::onAccess, server.get(), MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
    if (server->m_daemon == nullptr) {
        return Core::Error{Core::ErrorCode::Unavailable, "http.listen", peer, "The server cannot listen on this address."};
    }
    boundSocketBuffers(MHD_get_daemon_info(server->m_daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd);
    const MHD_DaemonInfo *info = MHD_get_daemon_info(server->m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
    HttpServer *self = server.get();
    server->m_watcher = std::make_unique<EventLoop::IoWatcher>(loop, info->epoll_fd, [self](int) { self->runDaemon(); });
    server->m_watcher->start(EV_READ);
    server->scheduleRun();
    return server;
}

HttpServer::HttpServer(EventLoop::Loop &loop, const HttpServerOptions &options, HttpHandler &handler)
    : m_loop(loop)
    , m_options(options)
    , m_handler(handler)
    , m_timer(loop, [this] { runDaemon(); })
    , m_run(loop, [this] { runDaemon(); })
{
}

HttpServer::~HttpServer()
{
    m_watcher.reset();
    if (m_daemon != nullptr) {
        abortOpenExchanges();
        MHD_stop_daemon(m_daemon);
    }
}

// libmicrohttpd aborts the process if it is stopped while connections are suspended.
void HttpServer::abortOpenExchanges()
{
    for (HttpExchange *exchange : m_openExchanges) {
        exchange->m_hangUpWatcher.reset();
        exchange->m_closedCallback = nullptr;
        exchange->m_drainedCallback = nullptr;
        exchange->m_state = HttpExchange::State::Aborted;
        if (exchange->m_isSuspended) {
            exchange->m_isSuspended = false;
            MHD_resume_connection(exchange->m_connection);
        }
    }
}

std::uint16_t HttpServer::port() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

std::size_t HttpServer::openExchangeCount() const
{
    return m_openExchanges.size();
}

std::size_t HttpServer::connectionCount() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
}

bool HttpServer::hasWaitingConnection() const
{
    pollfd listener{MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd, POLLIN, 0};
    return poll(&listener, 1, 0) == 1;
}

// Peers count connections that wait as established. libmicrohttpd accepts some of them each time that it runs.
void HttpServer::stopListening()
{
    for (int run = 0; run < maximumRunsToAccept && hasWaitingConnection(); ++run) {
        runDaemon();
    }
    const MHD_socket socket = MHD_quiesce_daemon(m_daemon);
    if (socket != MHD_INVALID_SOCKET) {
        close(socket);
    }
}

// A connection that was just accepted is read in the second run.
void HttpServer::readArrived()
{
    runDaemon();
    runDaemon();
}

void HttpServer::scheduleRun()
{
    m_run.schedule();
}

void HttpServer::runDaemon()
{
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    if (MHD_get_timeout(m_daemon, &milliseconds) != MHD_YES) {
        m_timer.stop();
        return;
    }
    if (milliseconds == 0) {
        m_run.schedule();
        return;
    }
    m_timer.startAt(m_loop.now() + std::chrono::milliseconds(milliseconds));
}

} // namespace Verbena::Http
