#include "workerfake.h"

#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>
#include <support/smallsocket.h>

#include <gtest/gtest.h>

#include <fcntl.h>

namespace Verbena::Test {

using namespace std::chrono_literals;

class WorkerFake::Connection : private Http::ChannelObserver, private Http::MessageSink
{
public:
    Connection(WorkerFake &worker, int descriptor)
        : m_worker(worker)
        , m_channel(Http::TcpChannel::adopt(worker.m_loop, descriptor, *this))
        , m_reader(Http::MessageReader::Kind::Requests, *this, {})
        , m_close(worker.m_loop, [this] { m_worker.m_connections.erase(this); })
        , m_work(worker.m_loop, [this] { run(); })
    {
    }

    ~Connection() override
    {
        m_worker.m_last = m_worker.m_last == this ? nullptr : m_worker.m_last;
    }

    void send(const std::string &bytes)
    {
        m_channel->write(bytes);
    }

    std::size_t waitingBytes() const
    {
        return m_channel->bufferedBytes();
    }

private:
    void receiveBytes(std::string_view data) override
    {
        (void)m_reader.feed(data);
        if (!m_reader.isDone()) {
            return;
        }
        m_worker.m_heads.push_back(m_head);
        m_worker.m_bodies.push_back(m_body);
        m_worker.m_last = this;
        m_script = m_worker.m_answer(m_head, m_body);
        if (m_script.after > 0ms) {
            m_work.startAt(m_worker.m_loop.now() + m_script.after);
            return;
        }
        run();
    }

    void run()
    {
        m_channel->write(m_script.bytes);
        if (m_script.end == WorkerScript::End::Keep) {
            m_body.clear();
            (void)m_reader.next();
            return;
        }
        if (m_script.end == WorkerScript::End::Reset) {
            m_channel->resetOnClose();
        }
        m_close.schedule();
    }

    void receiveEnd(Http::ChannelEnd) override
    {
        m_worker.m_connections.erase(this);
    }

    void outputDrained() override
    {
        if (!m_script.endless.empty()) {
            m_channel->write(m_script.endless);
        }
    }

    void receiveHead(Http::MessageHead head) override
    {
        m_head = std::move(head);
    }

    void receiveBody(std::string_view data) override
    {
        m_body.append(data);
    }

    void receiveEnd() override
    {
    }

    WorkerFake &m_worker;
    std::unique_ptr<Http::TcpChannel> m_channel;
    Http::MessageReader m_reader;
    EventLoop::DeferredCall m_close;
    EventLoop::Timer m_work; ///< Runs until the bytes of m_script are sent.
    WorkerScript m_script;
    Http::MessageHead m_head;
    std::string m_body;
};

WorkerFake::WorkerFake(EventLoop::Loop &loop, Answer answer, const std::string &address)
    : m_loop(loop)
    , m_answer(std::move(answer))
{
    auto listener = Http::TcpListener::create(loop, Http::Endpoint::parse(address).value(), [this](int descriptor) {
        auto connection = std::make_unique<Connection>(*this, descriptor);
        Connection *raw = connection.get();
        m_connections.emplace(raw, std::move(connection));
    });
    m_listener = std::move(listener.value());
    m_address = m_listener->endpoint().toString();
}

WorkerFake::~WorkerFake() = default;

std::string WorkerFake::address() const
{
    return m_address;
}

void WorkerFake::stopListening()
{
    m_listener.reset();
}

const std::vector<Http::MessageHead> &WorkerFake::heads() const
{
    return m_heads;
}

const std::vector<std::string> &WorkerFake::bodies() const
{
    return m_bodies;
}

std::size_t WorkerFake::openCount() const
{
    return m_connections.size();
}

std::size_t WorkerFake::waitingBytes() const
{
    std::size_t sum = 0;
    for (const auto &[connection, owned] : m_connections) {
        sum += connection->waitingBytes();
    }
    return sum;
}

void WorkerFake::sendMore(const std::string &bytes)
{
    if (m_last != nullptr) {
        m_last->send(bytes);
    }
}

CallerFake::CallerFake(EventLoop::Loop &loop, const Http::Endpoint &endpoint)
    : m_channel(std::move(Http::TcpChannel::connect(loop, endpoint, *this).value()))
{
}

CallerFake::CallerFake(EventLoop::Loop &loop, int slowSocket)
    : m_slowSocket(slowSocket)
    , m_channel(Http::TcpChannel::adopt(loop, slowSocket, *this))
{
    m_channel->setReading(false);
}

std::unique_ptr<CallerFake> CallerFake::createSlow(EventLoop::Loop &loop, const Http::Endpoint &endpoint)
{
    const int socket = connectSmall(endpoint.address);
    EXPECT_EQ(fcntl(socket, F_SETFL, O_NONBLOCK), 0);
    return std::unique_ptr<CallerFake>(new CallerFake(loop, socket));
}

void CallerFake::send(const std::string &bytes)
{
    m_channel->write(bytes);
}

void CallerFake::hangUp()
{
    m_channel.reset();
    m_isClosed = true;
}

void CallerFake::endSending()
{
    m_channel->shutdownOutput();
}

std::size_t CallerFake::waitingBytes() const
{
    return m_channel == nullptr ? 0 : m_channel->bufferedBytes();
}

void CallerFake::read()
{
    widen(m_slowSocket);
    m_channel->setReading(true);
}

void CallerFake::setReading(bool isReading)
{
    m_channel->setReading(isReading);
}

const std::string &CallerFake::received() const
{
    return m_received;
}

void CallerFake::forgetReceived()
{
    m_received.clear();
}

bool CallerFake::isClosed() const
{
    return m_isClosed;
}

void CallerFake::receiveBytes(std::string_view data)
{
    m_received.append(data);
}

bool CallerFake::isReset() const
{
    return m_isReset;
}

void CallerFake::receiveEnd(Http::ChannelEnd end)
{
    m_isClosed = true;
    m_isReset = end == Http::ChannelEnd::Broken;
}

bool runUntil(EventLoop::Loop &loop, const std::function<bool()> &isDone)
{
    // Much longer than any of these tests takes, so that only a hang reaches it.
    const Core::TimePoint deadline = loop.now() + 60s;
    EventLoop::Timer tick(loop, [] {});
    while (!isDone()) {
        if (loop.now() > deadline) {
            return false;
        }
        tick.startAt(loop.now() + 10ms);
        loop.runOnce();
    }
    return true;
}

} // namespace Verbena::Test
