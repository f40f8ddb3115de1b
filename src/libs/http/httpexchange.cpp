#include "httpexchange.h"

#include "httpserver.h"
#include "idletimeout.h"

#include <eventloop/iowatcher.h>

#include <microhttpd.h>

#include <algorithm>
#include <cstring>

#include <poll.h>

namespace Verbena::Http {

namespace {

// Number of sent bytes at the front of the output buffer at which they are erased.
constexpr std::size_t compactionBytes = 64 * 1024;

constexpr const char *keepAliveField = "Keep-Alive";

bool hasHungUp(int descriptor)
{
    pollfd entry{descriptor, POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

HttpExchange::HttpExchange(HttpServer *server)
    : m_server(server)
{
    m_server->m_openExchanges.insert(this);
}

HttpExchange::~HttpExchange() = default;

const std::string &HttpExchange::method() const
{
    return m_method;
}

const std::string &HttpExchange::path() const
{
    return m_path;
}

const std::string &HttpExchange::body() const
{
    return m_body;
}

std::optional<std::string> HttpExchange::header(const char *name) const
{
    if (m_connection == nullptr) {
        return std::nullopt;
    }
    const char *value = MHD_lookup_connection_value(m_connection, MHD_HEADER_KIND, name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::optional<std::string> HttpExchange::queryArgument(const char *name) const
{
    if (m_connection == nullptr) {
        return std::nullopt;
    }
    const char *value = MHD_lookup_connection_value(m_connection, MHD_GET_ARGUMENT_KIND, name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

bool HttpExchange::isOpen() const
{
    return m_state == State::Waiting || m_state == State::Streaming;
}

std::size_t HttpExchange::bufferedBytes() const
{
    return m_output.size() - m_outputOffset;
}

void HttpExchange::respond(int status, std::vector<HttpField> fields, std::string body)
{
    if (m_state != State::Waiting) {
        return;
    }
    m_status = status;
    m_fields = std::move(fields);
    m_output = std::move(body);
    m_state = State::Responding;
    wake();
}

void HttpExchange::beginStream(int status, std::vector<HttpField> fields)
{
    if (m_state != State::Waiting) {
        return;
    }
    m_status = status;
    m_fields = std::move(fields);
    m_state = State::Streaming;
    wake();
}

void HttpExchange::write(std::string_view data)
{
    if (m_state != State::Streaming) {
        return;
    }
    m_output.append(data);
    wake();
}

void HttpExchange::endStream()
{
    if (m_state != State::Streaming) {
        return;
    }
    m_state = State::Ended;
    wake();
}

void HttpExchange::abortStream()
{
    if (!isOpen()) {
        return;
    }
    m_state = State::Aborted;
    wake();
}

void HttpExchange::closeAfterAnswer()
{
    m_isClosing = true;
}

void HttpExchange::setClosedCallback(std::function<void()> callback)
{
    m_closedCallback = std::move(callback);
}

void HttpExchange::setDrainedCallback(std::function<void()> callback)
{
    m_drainedCallback = std::move(callback);
}

void HttpExchange::wake()
{
    if (!m_isSuspended) {
        return;
    }
    m_isSuspended = false;
    MHD_resume_connection(m_connection);
    m_server->scheduleRun();
}

int HttpExchange::queueResponse()
{
    MHD_Response *response = nullptr;
    if (m_state == State::Responding) {
        response = MHD_create_response_from_buffer(m_output.size(), m_output.data(), MHD_RESPMEM_MUST_COPY);
    } else {
        constexpr std::size_t blockBytes = 4 * 1024;
        auto *self = new std::shared_ptr<HttpExchange>(shared_from_this());
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN,
            blockBytes,
            [](void *context, std::uint64_t, char *buffer, std::size_t size) -> ssize_t {
                return (*static_cast<std::shared_ptr<HttpExchange> *>(context))->readStream(buffer, size);
            },
            self,
            [](void *context) { delete static_cast<std::shared_ptr<HttpExchange> *>(context); });
    }
    for (const HttpField &field : m_fields) {
        MHD_add_response_header(response, field.name.c_str(), field.value.c_str());
    }
    announceEnd(response);
    m_isQueued = true;
    const int queued = MHD_queue_response(m_connection, static_cast<unsigned>(m_status), response);
    MHD_destroy_response(response);
    return queued;
}

// A caller that is not told how long an idle connection lives sends its next request while the connection is closed, and cannot know whether it has run.
void HttpExchange::announceEnd(MHD_Response *response) const
{
    const auto idleTimeout = announcedIdleTimeout(m_server->m_options.idleTimeout);
    if (m_isClosing || !idleTimeout.has_value()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
        return;
    }
    if (m_isKeptByCaller) {
        MHD_add_response_header(response, keepAliveField, keepAliveText(*idleTimeout).c_str());
    }
}

long HttpExchange::readStream(char *buffer, std::size_t size)
{
    const std::size_t count = std::min(size, bufferedBytes());
    if (count > 0) {
        std::memcpy(buffer, m_output.data() + m_outputOffset, count);
        m_outputOffset += count;
        if (m_outputOffset == m_output.size()) {
            m_output.clear();
            m_outputOffset = 0;
        } else if (m_outputOffset >= compactionBytes) {
            // If the caller reads steadily but slowly, the buffer never becomes empty and would grow without bound.
            m_output.erase(0, m_outputOffset);
            m_outputOffset = 0;
        }
        return static_cast<long>(count);
    }
    if (m_state == State::Ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (m_state != State::Streaming) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    suspend();
    if (m_drainedCallback) {
        m_drainedCallback();
    }
    return 0;
}

void HttpExchange::suspend()
{
    m_isSuspended = true;
    MHD_suspend_connection(m_connection);
    watchForHangUp();
}

// libmicrohttpd does not poll the socket of a suspended connection, so it would not detect that the caller disconnects.
void HttpExchange::watchForHangUp()
{
    if (m_hangUpWatcher != nullptr) {
        return;
    }
    const MHD_ConnectionInfo *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    m_hangUpWatcher = std::make_unique<EventLoop::IoWatcher>(m_server->m_loop, info->connect_fd, [this](int) { onReadableWhileWaiting(); });
    m_hangUpWatcher->start(EV_READ);
}

void HttpExchange::onReadableWhileWaiting()
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const bool isGone = hasHungUp(info->connect_fd);
    // Unread bytes of a next request keep the socket readable and would trigger the watcher endlessly, so it is stopped in either case.
    m_hangUpWatcher->stop();
    if (!isGone || !isOpen()) {
        return;
    }
    m_state = State::Aborted;
    wake();
    notifyClosed();
}

// The callbacks may hold the last reference to the owner of this exchange, so they are released here.
void HttpExchange::notifyClosed()
{
    const std::function<void()> closed = std::move(m_closedCallback);
    m_closedCallback = nullptr;
    m_drainedCallback = nullptr;
    if (closed) {
        closed();
    }
}

void HttpExchange::onCompleted()
{
    const bool wasOpen = isOpen();
    m_server->m_openExchanges.erase(this);
    // libmicrohttpd closes the socket after this function returns.
    m_hangUpWatcher.reset();
    m_connection = nullptr;
    m_isSuspended = false;
    m_state = State::Closed;
    if (!wasOpen) {
        m_closedCallback = nullptr;
    }
    notifyClosed();
}

} // namespace Verbena::Http
