#include <http/httpserver.h>

#include <eventloop/loop.h>
#include <eventloop/timer.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <functional>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Http {

namespace {

using namespace std::chrono_literals;

/// \brief A caller's TCP connection without an HTTP library.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    }

    ~RawConnection()
    {
        hangUp();
    }

    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(std::string_view text) const
    {
        ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void hangUp()
    {
        if (m_socket >= 0) {
            close(m_socket);
        }
        m_socket = -1;
    }

    int descriptor() const
    {
        return m_socket;
    }

    /// \brief Appends the available data to \a text and returns whether the peer has closed the connection.
    bool readSome(std::string &text) const
    {
        std::array<char, 65536> part{};
        const ssize_t count = recv(m_socket, part.data(), part.size(), MSG_DONTWAIT);
        if (count > 0) {
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

private:
    int m_socket;
};

class HttpServerTest : public testing::Test, public HttpHandler
{
protected:
    HttpServerTest()
        : m_loop(EventLoop::Loop::create().value())
    {
        HttpServerOptions options;
        options.maximumBodyBytes = 100;
        m_server = HttpServer::create(*m_loop, options, *this).value();
    }

    void handleRequest(const std::shared_ptr<HttpExchange> &exchange) override
    {
        m_handle(exchange);
    }

    /// \brief Runs the loop until the server closes the connection or has sent \a expected; returns the received data.
    std::string readAnswer(const RawConnection &connection, const std::string &expected)
    {
        std::string answer;
        EventLoop::IoWatcher watcher(*m_loop, connection.descriptor(), [&](int) {
            const bool isClosed = connection.readSome(answer);
            if (isClosed || answer.find(expected) != std::string::npos) {
                m_loop->stop();
            }
        });
        watcher.start(EV_READ);
        m_loop->run();
        return answer;
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<HttpServer> m_server;
    std::function<void(const std::shared_ptr<HttpExchange> &)> m_handle = [](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(200, {}, "fine");
    };
};

TEST_F(HttpServerTest, detectsADisconnectBeforeTheResponse)
{
    RawConnection connection(m_server->port());
    bool isClosed = false;
    m_handle = [&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->setClosedCallback([&] {
            isClosed = true;
            m_loop->stop();
        });
        connection.hangUp();
    };
    connection.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    m_loop->run();
    EXPECT_TRUE(isClosed);
}

TEST_F(HttpServerTest, detectsADisconnectBetweenTwoPartsOfAStream)
{
    RawConnection connection(m_server->port());
    bool isClosed = false;
    m_handle = [&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->setClosedCallback([&] {
            isClosed = true;
            m_loop->stop();
        });
        exchange->setDrainedCallback([&] { connection.hangUp(); });
        exchange->beginStream(200, {});
        exchange->write("part");
    };
    connection.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    m_loop->run();
    EXPECT_TRUE(isClosed);
}

TEST_F(HttpServerTest, handlesPipelinedRequests)
{
    std::shared_ptr<HttpExchange> firstExchange;
    int count = 0;
    EventLoop::Timer later(*m_loop, [&] { firstExchange->respond(200, {}, "first"); });
    m_handle = [&](const std::shared_ptr<HttpExchange> &exchange) {
        if (++count == 1) {
            firstExchange = exchange;
            later.startAt(m_loop->now() + 20ms);
        } else {
            exchange->respond(200, {}, "second");
        }
    };
    const RawConnection connection(m_server->port());
    connection.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string answer = readAnswer(connection, "second");
    EXPECT_LT(answer.find("first"), answer.find("second"));
}

TEST_F(HttpServerTest, rejectsABodyThatIsTooLarge)
{
    const RawConnection announced(m_server->port());
    announced.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n");
    EXPECT_TRUE(readAnswer(announced, "body_too_large").starts_with("HTTP/1.1 413"));
    const RawConnection chunked(m_server->port());
    chunked.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n");
    EXPECT_TRUE(readAnswer(chunked, "body_too_large").starts_with("HTTP/1.1 413"));
}

// Callers sent their next request while their connection was being closed, as nothing had told them for how long it lives.
TEST_F(HttpServerTest, idleTimeoutIsAnnouncedByNothing)
{
    const RawConnection kept(m_server->port());
    kept.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(readAnswer(kept, "fine").find("\r\nKeep-Alive: timeout=59\r\n"), std::string::npos);
    const RawConnection closing(m_server->port());
    closing.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(readAnswer(closing, "fine").find("\r\nKeep-Alive:"), std::string::npos);
    const RawConnection older(m_server->port());
    older.send("GET / HTTP/1.0\r\n\r\n");
    EXPECT_EQ(readAnswer(older, "fine").find("\r\nKeep-Alive:"), std::string::npos);
}

// The path was taken to begin with the scheme, so that no page was found.
TEST_F(HttpServerTest, requestInAbsoluteFormHasAnotherPath)
{
    m_handle = [](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(200, {}, exchange->path() + ' ' + exchange->queryArgument("b").value_or("none") + " fine");
    };
    const RawConnection connection(m_server->port());
    connection.send("GET http://x:8080/a?b=c HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(readAnswer(connection, "fine").ends_with("\r\n\r\n/a c fine"));
    connection.send("GET http://x HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(readAnswer(connection, "fine").ends_with("\r\n\r\n/ none fine"));
}

TEST_F(HttpServerTest, asksCallersForTheBodyThatTheyHoldBack)
{
    m_handle = [](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(200, {}, exchange->body());
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: ";
    const RawConnection connection(m_server->port());
    connection.send(head + "4\r\n\r\n");
    EXPECT_EQ(readAnswer(connection, "\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    connection.send("body");
    EXPECT_TRUE(readAnswer(connection, "body").starts_with("HTTP/1.1 200"));
    const RawConnection tooLong(m_server->port());
    tooLong.send(head + "101\r\n\r\n");
    EXPECT_TRUE(readAnswer(tooLong, "body_too_large").starts_with("HTTP/1.1 413"));
}

TEST_F(HttpServerTest, skipsEmptyLinesAroundRequests)
{
    const RawConnection connection(m_server->port());
    for (int number = 0; number < 2; ++number) {
        connection.send("\r\nPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody\r\n");
        EXPECT_TRUE(readAnswer(connection, "fine").starts_with("HTTP/1.1 200"));
    }
}

TEST_F(HttpServerTest, canBeDestroyedWhileCallersWait)
{
    const RawConnection connection(m_server->port());
    m_handle = [&](const std::shared_ptr<HttpExchange> &) {
        m_loop->stop();
    };
    connection.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    m_loop->run();
    m_server.reset();
    std::string answer;
    EXPECT_TRUE(connection.readSome(answer));
}

TEST_F(HttpServerTest, survivesMalformedRequests)
{
    EXPECT_TRUE(rc::check("any bytes", [this](const std::vector<std::string> &words) {
        std::string text = *rc::gen::element<std::string>(
            "", "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nContent-Length: 5\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (const std::string &word : words) {
            text += word + *rc::gen::element<std::string>(" ", ":", "\r\n", "\r\n\r\n", "\n", "5\r\n");
        }
        // Some of these texts are the start of a valid request, so there may be no response.
        const RawConnection malformed(m_server->port());
        malformed.send(text);
        const RawConnection next(m_server->port());
        next.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        RC_ASSERT(readAnswer(next, "fine").starts_with("HTTP/1.1 200"));
    }));
}

} // namespace

} // namespace Verbena::Http
