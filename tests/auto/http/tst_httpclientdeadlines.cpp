#include <http/httpclient.h>
#include <http/tcplistener.h>

#include <eventloop/loop.h>
#include <eventloop/timer.h>

#include <gtest/gtest.h>

#include <vector>

#include <unistd.h>

namespace Verbena::Http {

namespace {

using namespace std::chrono_literals;

class Counter : public HttpReceiver
{
public:
    explicit Counter(int &count)
        : m_count(count)
    {
    }

    void receiveData(int, std::string_view) override
    {
    }

    void finish(Core::Result<int>) override
    {
        ++m_count;
    }

private:
    int &m_count;
};

// Guards against calls that never end although their deadline has passed. The server accepts connections and never answers. Each series starts a call when
// its previous one has ended, as when following a store that does not respond.
TEST(HttpClientDeadlineTest, endsEveryCallToASilentServer)
{
    const auto loop = std::move(EventLoop::Loop::create().value());
    std::vector<int> accepted;
    const auto listener = std::move(
        TcpListener::create(*loop, Endpoint::parse("127.0.0.1:0").value(), [&accepted](int descriptor) { accepted.push_back(descriptor); }).value());
    const auto client = std::move(HttpClient::create(*loop).value());
    constexpr int series = 8;
    constexpr int callsInSeries = 150;
    int started = 0;
    int ended = 0;
    EventLoop::Timer tick(*loop, [] {});
    const Core::TimePoint deadline = loop->now() + 120s;
    while (ended < series * callsInSeries && loop->now() < deadline) {
        while (started - ended < series && started < series * callsInSeries) {
            HttpCall call;
            call.url = "http://" + listener->endpoint().toString() + "/";
            call.deadline = loop->now() + std::chrono::microseconds(1000 + started * 37 % 9000);
            client->start(call, std::make_shared<Counter>(ended));
            ++started;
        }
        tick.startAt(loop->now() + 1s);
        loop->runOnce();
    }
    EXPECT_EQ(ended, series * callsInSeries);
    for (const int descriptor : accepted) {
        close(descriptor);
    }
}

} // namespace

} // namespace Verbena::Http
