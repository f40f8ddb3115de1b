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

/// \brief Publishes the status of the engine on this host to the routers that watch it.
class NewsPublisher
{
public:
    /// \brief Listens at \a address for watch messages; \a engineAddress identifies the engine. Errors: Unavailable.
    static Core::Result<std::unique_ptr<NewsPublisher>> create(EventLoop::Loop &loop, const sockaddr_in &address, const std::string &engineAddress);

    NewsPublisher(const NewsPublisher &) = delete;
    NewsPublisher &operator=(const NewsPublisher &) = delete;

    /// \brief Sets the function that is called with each watch message of a router.
    void setWatchObserver(std::function<void(const verbena::wire::EngineWatch &)> observer);

    /// \brief Returns the number of routers that watch the engine.
    std::uint32_t watcherCount() const;

    /// \brief Sends \a status to all routers that watch the engine.
    void publish(const Decisions::EngineStatus &status);

    /// \brief Tells all routers that watch the engine that there will be no more news, since this process ends.
    void publishEnd();

private:
    struct Watcher
    {
        sockaddr_in address;
        Core::TimePoint deadline;
    };

    NewsPublisher(EventLoop::Loop &loop, const std::string &engineAddress);
    void recordWatcher(const sockaddr_in &address);
    void sendToWatchers(const verbena::wire::Envelope &message);

    EventLoop::Loop &m_loop;
    std::string m_engineAddress;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
    std::vector<Watcher> m_watchers;
    std::size_t m_lastNamedWatcher = 0; ///< Index of the watcher that was named to the others last.
    std::function<void(const verbena::wire::EngineWatch &)> m_watchObserver;
};

} // namespace Verbena::Weights
