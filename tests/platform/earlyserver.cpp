#include "earlyserver.h"

#include <gtest/gtest.h>

#include <array>

#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Test {

EarlyServer::EarlyServer(EventLoop::Loop &loop, std::string answer, EarlyEnd end)
    : m_loop(loop)
    , m_answer(std::move(answer))
    , m_end(end)
    , m_listener(
          std::move(Http::TcpListener::create(loop, Http::Endpoint::parse("127.0.0.1:0").value(), [this](int descriptor) { accept(descriptor); }).value()))
{
}

std::string EarlyServer::address() const
{
    return m_listener->endpoint().toString();
}

std::size_t EarlyServer::answered() const
{
    return m_answered;
}

void EarlyServer::accept(int descriptor)
{
    auto watcher = std::make_unique<EventLoop::IoWatcher>(m_loop, descriptor, [this, descriptor](int) { answer(descriptor); });
    watcher->start(EV_READ);
    m_watchers[descriptor] = std::move(watcher);
}

void EarlyServer::answer(int descriptor)
{
    std::array<char, 1024> begin{};
    const ssize_t count = recv(descriptor, begin.data(), begin.size(), 0);
    m_watchers[descriptor]->stop();
    if (count > 0) {
        ++m_answered;
        EXPECT_EQ(send(descriptor, m_answer.data(), m_answer.size(), MSG_NOSIGNAL), static_cast<ssize_t>(m_answer.size()));
    }
    if (m_end == EarlyEnd::Reset) {
        const linger atOnce{1, 0};
        EXPECT_EQ(setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce), 0);
    }
    close(descriptor);
}

} // namespace Verbena::Test
