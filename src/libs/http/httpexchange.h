#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct MHD_Connection;

namespace Verbena::EventLoop {
class IoWatcher;
}

namespace Verbena::Http {

class HttpServer;

/// \brief One header field of a request or an answer.
struct HttpField
{
    std::string name;
    std::string value;
};

/// \brief One request and its answer, which may come later and in parts.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const std::string &method() const;
    const std::string &path() const;
    const std::string &body() const;

    /// \brief The value of header field \a name, whose case does not matter.
    std::optional<std::string> header(const char *name) const;

    /// \brief The value of query argument \a name.
    std::optional<std::string> queryArgument(const char *name) const;

    /// \brief True while the caller can still be answered.
    bool isOpen() const;

    /// \brief Bytes written to a stream that the caller has not taken yet.
    std::size_t bufferedBytes() const;

    /// \brief Gives the whole answer. Only the first answer counts.
    void respond(int status, std::vector<HttpField> fields, std::string body);

    /// \brief Begins an answer whose body is written in parts.
    void beginStream(int status, std::vector<HttpField> fields);

    /// \brief Adds to the body of a begun stream.
    void write(std::string_view data);

    /// \brief Ends a begun stream in good order.
    void endStream();

    /// \brief Cuts a begun stream, so that the caller sees that it is not whole; without one, closes the connection unanswered.
    void abortStream();

    /// \brief Lets the connection close after this answer, so that the caller's next request goes elsewhere.
    void closeAfterAnswer();

    /// \brief Called once when the caller is gone before the answer was whole.
    void setClosedCallback(std::function<void()> callback);

    /// \brief Called whenever the caller has taken all that was written.
    void setDrainedCallback(std::function<void()> callback);

private:
    friend class HttpServer;
    enum class State { Receiving, Waiting, Responding, Streaming, Ended, Aborted, Closed };

    explicit HttpExchange(HttpServer *server);
    void wake();
    int queueResponse();
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

/// \brief What a program does with the requests that a server receives.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// \brief Takes a request whose body is whole; it must be answered through \a exchange.
    virtual void handleRequest(const std::shared_ptr<HttpExchange> &exchange) = 0;
};

} // namespace Verbena::Http
