#pragma once

#include <core/time.h>
#include <decisions/relay/enginestatus.h>
#include <wire/datagramsocket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Weights {

/// \brief Tells routers that ask for it how the engine beside this process is.
class NewsPublisher
{
public:
    /// \brief Listens at \a address for those who ask; \a engineAddress names the engine. Errors: Unavailable.
    static Core::Result<std::unique_ptr<NewsPublisher>> create(EventLoop::Loop &loop, const sockaddr_in &address, const std::string &engineAddress);

    NewsPublisher(const NewsPublisher &) = delete;
    NewsPublisher &operator=(const NewsPublisher &) = delete;

    /// \brief Calls \a observer with every question of a router.
    void setWatchObserver(std::function<void(const verbena::wire::EngineWatch &)> observer);

    /// \brief Routers that asked lately.
    std::uint32_t watcherCount() const;

    /// \brief Tells all who asked lately.
    void publish(const Decisions::EngineStatus &status);

private:
    struct Watcher
    {
        sockaddr_in address;
        Core::TimePoint deadline;
    };

    NewsPublisher(EventLoop::Loop &loop, const std::string &engineAddress);
    void noteWatcher(const sockaddr_in &address);

    EventLoop::Loop &m_loop;
    std::string m_engineAddress;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
    std::vector<Watcher> m_watchers;
    std::size_t m_nextNamed = 0; ///< Of the watchers, in turn.
    std::function<void(const verbena::wire::EngineWatch &)> m_watchObserver;
};

} // namespace Verbena::Weights
