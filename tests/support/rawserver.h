#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Verbena::Test {

/// \brief A TCP server that answers HTTP requests with whatever bytes a test wants, and counts them.
class RawServer
{
public:
    /// \brief Gives the bytes to send for request \a number on its connection, from 1 on; empty bytes close the connection.
    using Answer = std::function<std::string(const std::string &head, int number)>;

    explicit RawServer(Answer answer);
    ~RawServer();

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string url() const;

    /// \brief Requests received whole.
    int requestCount() const;

private:
    void acceptAll();
    void serve(int connection);

    Answer m_answer;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requestCount{0};
    std::mutex m_mutex;
    std::vector<int> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace Verbena::Test
