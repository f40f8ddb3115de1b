#include <http/httpclient.h>
#include <http/httpserver.h>

#include <eventloop/loop.h>
#include <eventloop/timer.h>

#include <gtest/gtest.h>

#include <functional>

namespace Verbena::Http {

namespace {

using namespace std::chrono_literals;

class EchoHandler : public HttpHandler
{
public:
    void handleRequest(const std::shared_ptr<HttpExchange> &exchange) override
    {
        exchange->respond(200, {}, exchange->path());
    }
};

class Receiver : public HttpReceiver
{
public:
    Receiver(std::function<void()> onData, std::function<void(bool)> onFinish)
        : m_onData(std::move(onData))
        , m_onFinish(std::move(onFinish))
    {
    }

    void receiveData(int, std::string_view) override
    {
        m_onData();
    }

    void finish(Core::Result<int> status) override
    {
        m_onFinish(status.has_value());
    }

private:
    std::function<void()> m_onData;
    std::function<void(bool)> m_onFinish;
};

} // namespace

TEST(HttpClientStart, startsACallWhileAResponseIsReceived)
{
    const auto loop = EventLoop::Loop::create().value();
    EchoHandler handler;
    const auto server = HttpServer::create(*loop, {}, handler).value();
    const auto client = HttpClient::create(*loop).value();
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
    call.deadline = loop->now() + 10s;
    bool isSecondComplete = false;
    const auto second = std::make_shared<Receiver>([] {},
        [&](bool isComplete) {
            isSecondComplete = isComplete;
            loop->stop();
        });
    client->start(call, std::make_shared<Receiver>([&] { client->start(call, second); }, [](bool) {}));
    // Ends the test if the second call never starts.
    EventLoop::Timer timeout(*loop, [&] { loop->stop(); });
    timeout.startAt(loop->now() + 15s);
    loop->run();
    EXPECT_TRUE(isSecondComplete);
}

} // namespace Verbena::Http
