#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct MHD_Connection;
struct MHD_Response;

namespace Verbena::EventLoop {
class IoWatcher;
}

namespace Verbena::Http {

class HttpServer;

/// \brief A header field of a request or a response.
struct HttpField
{
    std::string name;
    std::string value;
};

/// \brief A request received by an HttpServer and its response, which may be sent later and in parts.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const std::string &method() const;
    const std::string &path() const;
    const std::string &body() const;

    /// \brief Returns the value of the header field \a name (case-insensitive), if present.
    std::optional<std::string> header(const char *name) const;

    /// \brief Returns the value of the query argument \a name, if present.
    std::optional<std::string> queryArgument(const char *name) const;

    /// \brief Returns whether the response can still be sent or continued.
    bool isOpen() const;

    /// \brief Returns the number of bytes written to the stream that have not been sent yet.
    std::size_t bufferedBytes() const;

    /// \brief Sends a complete response. Has no effect if a response was already started.
    void respond(int status, std::vector<HttpField> fields, std::string body);

    /// \brief Starts a response whose body is written in parts.
    void beginStream(int status, std::vector<HttpField> fields);

    /// \brief Appends \a data to the body of a started stream.
    void write(std::string_view data);

    /// \brief Completes a started stream.
    void endStream();

    /// \brief Aborts a started stream so that the caller detects the truncation; without a stream, closes the connection without a response.
    void abortStream();

    /// \brief Closes the connection after this response, so that the caller's next request uses a new one.
    void closeAfterAnswer();

    /// \brief Sets a function that is called once if the caller disconnects before the response is complete.
    void setClosedCallback(std::function<void()> callback);

    /// \brief Sets a function that is called whenever all written data has been sent.
    void setDrainedCallback(std::function<void()> callback);

private:
    friend class HttpServer;
    enum class State { Receiving, Waiting, Responding, Streaming, Ended, Aborted, Closed };

    explicit HttpExchange(HttpServer *server);
    void wake();
    int queueResponse();
    void announceEnd(MHD_Response *response) const;
    long readStream(char *buffer, std::size_t size);
    void suspend();
    void watchForHangUp();
    void onReadableWhileWaiting();
    void notifyClosed();
    void onCompleted();

    HttpServer *m_server;
    MHD_Connection *m_connection = nullptr;
    State m_state = State::Receiving;
    bool m_isSuspended = false;
    bool m_isTooLarge = false;
    std::size_t m_receivedBytes = 0;
    bool m_isQueued = false;
    bool m_isClosing = false;
    bool m_isKeptByCaller = false; ///< Whether the caller may send further requests on its connection.
    std::string m_method;
    std::string m_path;
    std::string m_body;
    int m_status = 0;
    std::vector<HttpField> m_fields;
    std::string m_output;
    std::size_t m_outputOffset = 0;
    std::function<void()> m_closedCallback;
    std::function<void()> m_drainedCallback;
    std::unique_ptr<EventLoop::IoWatcher> m_hangUpWatcher;
};

/// \brief Interface that handles the requests received by an HttpServer.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// \brief Handles a request whose body is complete; the response must be sent through \a exchange.
    virtual void handleRequest(const std::shared_ptr<HttpExchange> &exchange) = 0;
};

} // namespace Verbena::Http
