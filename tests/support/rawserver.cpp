#include "rawserver.h"

#include <array>
#include <cstdlib>
#include <optional>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Test {

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view lengthField = "Content-Length: ";

std::size_t bodyLength(const std::string &head)
{
    const std::size_t begin = head.find(lengthField);
    return begin == std::string::npos ? 0 : std::stoul(head.substr(begin + lengthField.size()));
}

/// Takes the head of the next whole request out of \a buffer, reading more as needed.
std::optional<std::string> readRequest(int connection, std::string &buffer)
{
    for (;;) {
        const std::size_t end = buffer.find(headEnd);
        if (end != std::string::npos) {
            const std::string head = buffer.substr(0, end);
            const std::size_t size = end + headEnd.size() + bodyLength(head);
            if (buffer.size() >= size) {
                buffer.erase(0, size);
                return head;
            }
        }
        std::array<char, 4096> part{};
        const ssize_t count = read(connection, part.data(), part.size());
        if (count <= 0) {
            return std::nullopt;
        }
        buffer.append(part.data(), static_cast<std::size_t>(count));
    }
}

} // namespace

RawServer::RawServer(Answer answer)
    : m_answer(std::move(answer))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(m_listener, SOMAXCONN) != 0
        || getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        std::abort();
    }
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptAll(); });
}

RawServer::~RawServer()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const int connection : m_connections) {
            shutdown(connection, SHUT_RDWR);
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    for (const int connection : m_connections) {
        close(connection);
    }
    close(m_listener);
}

std::string RawServer::url() const
{
    return "http://127.0.0.1:" + std::to_string(m_port);
}

int RawServer::requestCount() const
{
    return m_requestCount;
}

void RawServer::acceptAll()
{
    for (;;) {
        const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void RawServer::serve(int connection)
{
    std::string buffer;
    for (int number = 1;; ++number) {
        const auto head = readRequest(connection, buffer);
        if (!head) {
            break;
        }
        ++m_requestCount;
        const std::string answer = m_answer(*head, number);
        if (answer.empty() || write(connection, answer.data(), answer.size()) < 0) {
            break;
        }
    }
    shutdown(connection, SHUT_RDWR);
}

} // namespace Verbena::Test
