#include <eventloop/loop.h>
#include <http/httpclient.h>
#include <support/rawserver.h>

#include <gtest/gtest.h>

#include <optional>

namespace Verbena::Test {

namespace {

constexpr std::chrono::seconds patience{30};
constexpr const char *emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nEngine-Incarnation: 7\r\n\r\n";

/// Notes what becomes of one call and stops the loop at its end.
class CallRecorder : public Http::HttpReceiver
{
public:
    explicit CallRecorder(EventLoop::Loop &loop)
        : m_loop(loop)
    {
    }

    void receiveField(std::string_view name, std::string_view value) override
    {
        if (name == "Engine-Incarnation") {
            incarnation = value;
        }
    }

    void receiveData(int, std::string_view) override
    {
    }

    void finish(Core::Result<int> status) override
    {
        result = std::move(status);
        m_loop.stop();
    }

    std::optional<Core::Result<int>> result;
    std::string incarnation;

private:
    EventLoop::Loop &m_loop;
};

class HttpClientTest : public testing::Test
{
protected:
    HttpClientTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_client(std::move(Http::HttpClient::create(*m_loop).value()))
    {
    }

    std::shared_ptr<CallRecorder> call(const std::string &url, bool isRepeatable)
    {
        Http::HttpCall call;
        call.method = "POST";
        call.url = url;
        call.body = "{}";
        call.deadline = m_loop->now() + patience;
        call.isRepeatable = isRepeatable;
        auto recorder = std::make_shared<CallRecorder>(*m_loop);
        m_client->start(call, recorder);
        m_loop->run();
        return recorder;
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<Http::HttpClient> m_client;
};

TEST_F(HttpClientTest, neverSendsACallTwiceUnlessItIsRepeatable)
{
    // The second request on a connection is received and the connection closed: to the client it looks like a dead one.
    RawServer server([](const std::string &, int number) { return number == 1 ? emptyAnswer : ""; });
    EXPECT_EQ(call(server.url(), true)->result->value(), 200);
    EXPECT_EQ(call(server.url(), true)->result->value(), 200);
    EXPECT_EQ(server.requestCount(), 3) << "libcurl repeats a call on a kept connection";

    EXPECT_EQ(call(server.url(), false)->result->value(), 200);
    EXPECT_EQ(call(server.url(), false)->result->value(), 200);
    EXPECT_EQ(server.requestCount(), 5);
}

TEST_F(HttpClientTest, saysUnknownOnceTheRequestWasSent)
{
    RawServer server([](const std::string &, int) { return ""; });
    EXPECT_EQ(call(server.url(), false)->result->error().code, Core::ErrorCode::Unknown);
    EXPECT_EQ(server.requestCount(), 1);
}

TEST_F(HttpClientTest, saysUnavailableOnlyIfNothingWasSent)
{
    std::string url;
    {
        RawServer server([](const std::string &, int) { return ""; });
        url = server.url();
    }
    EXPECT_EQ(call(url, false)->result->error().code, Core::ErrorCode::Unavailable);
}

TEST_F(HttpClientTest, handsOverHeaderFields)
{
    RawServer server([](const std::string &, int) { return emptyAnswer; });
    EXPECT_EQ(call(server.url(), false)->incarnation, "7");
}

} // namespace

} // namespace Verbena::Test
