#include "httpclient.h"

#include "answermeter.h"
#include "callevents.h"
#include "messagereader.h"
#include "socketbuffers.h"

#include <eventloop/iowatcher.h>
#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <curl/curl.h>

#include <poll.h>

namespace Verbena::Http {

namespace {

constexpr long firstFinalStatus = 200;
constexpr long lastStatus = 599;
constexpr long statusNoContent = 204;
constexpr long statusNotModified = 304;

// The log is shared by all calls, so that one peer must not fill it.
constexpr std::chrono::seconds tooLongLogInterval{1};

constexpr const char *noUseLimit = "use";

} // namespace

struct HttpClient::Transfer
{
    explicit Transfer(const AnswerLimits &limits)
        : meter(limits)
    {
    }

    ~Transfer()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(fields);
    }

    CURL *easy = nullptr;
    curl_slist *fields = nullptr;
    std::uint64_t id = 0;
    std::string url;
    std::string body;
    std::shared_ptr<HttpReceiver> receiver;
    AnswerMeter meter;
    const char *exceededLimit = nullptr; ///< Name of the limit because of which the call was ended; null if none was.
    bool isSafe = false; ///< Whether the request's method has no effect.
    bool isHeadRequest = false; ///< Whether the request's method is HEAD.
    bool isHeadDone = false; ///< Whether the empty line that ends the head of the final response was received.
    bool isChunked = false; ///< Whether the response is sent in chunks.
    bool isPaused = false;
    bool isCancelled = false;
};

// What libcurl wants to know of a socket.
struct HttpClient::SocketWatch
{
    std::unique_ptr<EventLoop::IoWatcher> watcher;
    bool isReading = false;
};

// Callbacks of libcurl, which are plain functions; their context argument is the client or the transfer.
struct HttpClient::Internals
{
    static std::size_t onData(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto *transfer = static_cast<Transfer *>(context);
        if (transfer->isPaused) {
            return CURL_WRITEFUNC_PAUSE;
        }
        if (transfer->isCancelled) {
            return 0;
        }
        transfer->meter.addBody(size * count);
        if (transfer->meter.excess() == AnswerExcess::Body) {
            transfer->exceededLimit = nameOf(AnswerExcess::Body);
            return 0;
        }
        transfer->receiver->receiveData(static_cast<int>(statusOf(*transfer)), std::string_view(data, size * count));
        if (!transfer->isCancelled && !transfer->receiver->isTakingMore()) {
            transfer->exceededLimit = noUseLimit;
            return 0;
        }
        return size * count;
    }

    // Called for all that is read from a connection, as the other callbacks see neither the sizes of chunks nor their extensions.
    static int onTraffic(CURL *, curl_infotype type, char *, std::size_t size, void *context)
    {
        if (type == CURLINFO_HEADER_IN || type == CURLINFO_DATA_IN) {
            static_cast<Transfer *>(context)->meter.addReceived(size);
        }
        return 0;
    }

    // What a paused transfer has read is not handed on yet, so that it can't be told which part it belongs to.
    static bool checkLimits(Transfer &transfer)
    {
        const std::optional<AnswerExcess> excess = transfer.isPaused ? std::nullopt : transfer.meter.excess();
        if (excess.has_value()) {
            transfer.exceededLimit = nameOf(*excess);
        }
        return !excess.has_value();
    }

    // Called whenever a transfer has gone on; another value than 0 ends it.
    static int onProgress(void *context, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
    {
        return checkLimits(*static_cast<Transfer *>(context)) ? 0 : 1;
    }

    static long statusOf(const Transfer &transfer)
    {
        long status = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
        return status;
    }

    static bool isStatusInvalid(const Transfer &transfer)
    {
        return statusOf(transfer) > lastStatus;
    }

    // Called for each line of the head, also for the first and for the empty one that ends it.
    static std::size_t onField(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto *transfer = static_cast<Transfer *>(context);
        std::string_view line(data, size * count);
        if (!checkLimits(*transfer)) {
            return 0;
        }
        if (line == "\r\n" || line == "\n") {
            transfer->isHeadDone = statusOf(*transfer) >= firstFinalStatus;
            return isStatusInvalid(*transfer) ? 0 : size * count;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || transfer->isCancelled) {
            return size * count;
        }
        const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
        const std::size_t end = line.find_last_not_of(" \t\r\n");
        if (begin != std::string_view::npos && begin <= end) {
            const std::string_view name = line.substr(0, colon);
            transfer->isChunked = transfer->isChunked || isSameFieldName(name, "Transfer-Encoding");
            transfer->receiver->receiveField(name, line.substr(begin, end - begin + 1));
        }
        return size * count;
    }

    static int onNewSocket(void *, curl_socket_t socket, curlsocktype)
    {
        boundSocketBuffers(socket, callReceiveBufferBytes);
        return CURL_SOCKOPT_OK;
    }

    static int onSocket(CURL *, curl_socket_t socket, int what, void *context, void *socketContext)
    {
        auto *client = static_cast<HttpClient *>(context);
        auto *watch = static_cast<SocketWatch *>(socketContext);
        if (what == CURL_POLL_REMOVE) {
            delete watch;
            curl_multi_assign(client->m_multi, socket, nullptr);
            return 0;
        }
        if (watch == nullptr) {
            watch = new SocketWatch;
            watch->watcher = std::make_unique<EventLoop::IoWatcher>(
                client->m_loop, socket, [client, watch, socket](int events) { onReady(*client, *watch, socket, events); });
            curl_multi_assign(client->m_multi, socket, watch);
        }
        watch->isReading = (what & CURL_POLL_IN) != 0;
        const int events = (watch->isReading ? EV_READ : 0) | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
        watch->watcher->start(events);
        return 0;
    }

    // Returns whether there is something to read by now, the end of the connection too.
    static bool hasInput(curl_socket_t socket)
    {
        pollfd state{socket, POLLIN, 0};
        return poll(&state, 1, 0) > 0;
    }

    // What has come is read before more is sent: a peer may have answered and ended the connection, and a failed write ends the call. What can be sent then is
    // reported again.
    static void onReady(HttpClient &client, const SocketWatch &watch, curl_socket_t socket, int events)
    {
        const bool isToBeRead = watch.isReading && ((events & EV_READ) != 0 || hasInput(socket));
        int running = 0;
        curl_multi_socket_action(client.m_multi, socket, isToBeRead ? CURL_CSELECT_IN : CURL_CSELECT_OUT, &running);
        client.processFinished();
    }

    static int onTimer(CURLM *, long milliseconds, void *context)
    {
        auto *client = static_cast<HttpClient *>(context);
        if (milliseconds < 0) {
            client->m_timer.stop();
        } else {
            client->m_timer.startAt(client->m_loop.now() + std::chrono::milliseconds(milliseconds));
        }
        return 0;
    }

    static void onTimeout(HttpClient &client)
    {
        int running = 0;
        curl_multi_socket_action(client.m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
        client.processFinished();
    }

    // libcurl reports a response that ends with its connection as complete, wherever it ends.
    static bool isUnframed(const Transfer &transfer, long status)
    {
        curl_off_t length = -1;
        curl_easy_getinfo(transfer.easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
        const bool hasBody = !transfer.isHeadRequest && status != statusNoContent && status != statusNotModified;
        return hasBody && length < 0 && !transfer.isChunked;
    }

    // Only a length tells here that nothing of a response is missing; libcurl does not tell that it has seen the last chunk.
    static bool isWhole(const Transfer &transfer)
    {
        curl_off_t length = -1;
        curl_easy_getinfo(transfer.easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
        return transfer.isHeadDone && !transfer.isChunked && length >= 0 && transfer.meter.bodyBytes() == static_cast<std::uint64_t>(length);
    }

    // Returns why the call of \a transfer failed; null if it did not. libcurl reports a head that ends after its first line as a whole response.
    static const char *failureOf(const Transfer &transfer, CURLcode code)
    {
        if (isStatusInvalid(transfer)) {
            return "The response has no valid status.";
        }
        if (code == CURLE_SEND_ERROR && isWhole(transfer)) {
            return nullptr;
        }
        if (code != CURLE_OK) {
            return curl_easy_strerror(code);
        }
        return transfer.isHeadDone ? nullptr : "The connection was closed inside the head of the response.";
    }

    static Core::ErrorCode codeOf(CURL *easy)
    {
        // A request of which no byte was sent cannot have had an effect. A failure to connect does not prove that: libcurl may have sent a
        // repeatable call on a reused connection before.
        long sent = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
        return sent == 0 ? Core::ErrorCode::Unavailable : Core::ErrorCode::Unknown;
    }
};

Core::Result<std::unique_ptr<HttpClient>> HttpClient::create(EventLoop::Loop &loop)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    std::unique_ptr<HttpClient> client(new HttpClient(loop));
    if (initialised != CURLE_OK || client->m_multi == nullptr) {
        return Core::Error{Core::ErrorCode::Internal, "http.client", "", "libcurl cannot be initialised."};
    }
    return client;
}

HttpClient::HttpClient(EventLoop::Loop &loop)
    : m_loop(loop)
    , m_multi(curl_multi_init())
    , m_timer(loop, [this] { Internals::onTimeout(*this); })
    , m_add(loop, [this] { addWaiting(); })
    , m_remove(loop, [this] { removeCancelled(); })
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Internals::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Internals::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

HttpClient::~HttpClient()
{
    for (const auto &[id, transfer] : m_transfers) {
        curl_multi_remove_handle(m_multi, transfer->easy);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
}

HttpCallId HttpClient::start(const HttpCall &call, std::shared_ptr<HttpReceiver> receiver)
{
    auto transfer = std::make_unique<Transfer>(call.limits);
    transfer->id = ++m_lastId;
    transfer->easy = curl_easy_init();
    transfer->url = call.url;
    transfer->body = call.body;
    transfer->isHeadRequest = call.method == "HEAD";
    transfer->isSafe = transfer->isHeadRequest || call.method == "GET";
    transfer->receiver = std::move(receiver);
    for (const std::string &field : call.fields) {
        transfer->fields = curl_slist_append(transfer->fields, field.c_str());
    }
    // Without this empty field, libcurl waits for "100 Continue" before it sends a long body.
    transfer->fields = curl_slist_append(transfer->fields, "Expect:");
    applyOptions(*transfer, call);
    const std::uint64_t id = transfer->id;
    CURL *easy = transfer->easy;
    m_transfers.emplace(id, std::move(transfer));
    // libcurl refuses to add handles from within its callbacks, so this one is added by a deferred call.
    if (curl_multi_add_handle(m_multi, easy) == CURLM_RECURSIVE_API_CALL) {
        m_waiting.push_back(id);
        m_add.schedule();
    }
    return HttpCallId(id);
}

void HttpClient::addWaiting()
{
    std::vector<std::uint64_t> waiting;
    waiting.swap(m_waiting);
    for (const std::uint64_t id : waiting) {
        const auto found = m_transfers.find(id);
        if (found != m_transfers.end()) {
            curl_multi_add_handle(m_multi, found->second->easy);
        }
    }
}

void HttpClient::applyOptions(Transfer &transfer, const HttpCall &call) const
{
    CURL *easy = transfer.easy;
    curl_easy_setopt(easy, CURLOPT_URL, transfer.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.fields);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Internals::onNewSocket);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Internals::onData);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Internals::onField);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, &Internals::onTraffic);
    curl_easy_setopt(easy, CURLOPT_DEBUGDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &Internals::onProgress);
    curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &transfer);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(call.deadline - m_loop.now());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(1, left.count())));
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (!transfer.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.body.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.body.size()));
    }
    if (!call.isRepeatable && call.method != "GET" && call.method != "HEAD") {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

void HttpClient::cancel(HttpCallId id)
{
    const auto found = m_transfers.find(static_cast<std::uint64_t>(id));
    if (found == m_transfers.end() || found->second->isCancelled) {
        return;
    }
    // libcurl forbids removing a handle from within its callbacks, so the handle is removed at the end of the loop iteration.
    found->second->isCancelled = true;
    m_cancelled.push_back(found->first);
    m_remove.schedule();
}

void HttpClient::pause(HttpCallId id)
{
    const auto found = m_transfers.find(static_cast<std::uint64_t>(id));
    if (found != m_transfers.end()) {
        found->second->isPaused = true;
    }
}

void HttpClient::resume(HttpCallId id)
{
    const auto found = m_transfers.find(static_cast<std::uint64_t>(id));
    if (found == m_transfers.end() || !found->second->isPaused) {
        return;
    }
    found->second->isPaused = false;
    curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
}

void HttpClient::processFinished()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        Transfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        curl_multi_remove_handle(m_multi, transfer->easy);
        const auto node = m_transfers.extract(transfer->id);
        if (transfer->isCancelled) {
            continue;
        }
        if (transfer->exceededLimit != nullptr) {
            const auto errorCode = transfer->isSafe ? Core::ErrorCode::ResourceExhausted : Core::ErrorCode::Unknown;
            const Core::Error error{errorCode, "http.call", transfer->url, "The response is too long."};
            recordTooLong(error, transfer->exceededLimit);
            transfer->receiver->finish(error);
            continue;
        }
        if (const char *failure = Internals::failureOf(*transfer, code)) {
            transfer->receiver->finish(Core::Error{Internals::codeOf(transfer->easy), "http.call", transfer->url, failure});
            continue;
        }
        const long status = Internals::statusOf(*transfer);
        if (Internals::isUnframed(*transfer, status)) {
            transfer->receiver->receiveUnframedEnd();
        }
        transfer->receiver->finish(static_cast<int>(status));
    }
}

void HttpClient::recordTooLong(const Core::Error &error, const char *limit)
{
    ++m_tooLongCount;
    if (m_loop.now() < m_nextTooLongLog) {
        return;
    }
    Observe::log(callAnswerTooLong, error, {{"limit", limit}, {"count", std::to_string(m_tooLongCount)}});
    m_tooLongCount = 0;
    m_nextTooLongLog = m_loop.now() + tooLongLogInterval;
}

void HttpClient::removeCancelled()
{
    std::vector<std::uint64_t> cancelled;
    cancelled.swap(m_cancelled);
    for (const std::uint64_t id : cancelled) {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end()) {
            continue;
        }
        curl_multi_remove_handle(m_multi, found->second->easy);
        m_transfers.erase(found);
    }
}

} // namespace Verbena::Http
