#pragma once

#include <eventloop/iowatcher.h>
#include <eventloop/loop.h>
#include <http/tcplistener.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace Verbena::Test {

/// \brief How a server ends the connection of a request that it has not read whole. Both reach its peer as a reset.
enum class EarlyEnd {
    Close,
    Reset,
};

/// \brief A server that answers each request when its first bytes have come, reads nothing more and ends the connection at once.
class EarlyServer
{
public:
    EarlyServer(EventLoop::Loop &loop, std::string answer, EarlyEnd end);

    std::string address() const;

    /// \brief Returns the number of answered requests.
    std::size_t answered() const;

private:
    void accept(int descriptor);
    void answer(int descriptor);

    EventLoop::Loop &m_loop;
    std::string m_answer;
    EarlyEnd m_end;
    std::map<int, std::unique_ptr<EventLoop::IoWatcher>> m_watchers; ///< By descriptor.
    std::size_t m_answered = 0;
    std::unique_ptr<Http::TcpListener> m_listener;
};

} // namespace Verbena::Test
