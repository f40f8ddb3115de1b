#include "newspublisher.h"

#include <eventloop/loop.h>

#include <algorithm>

namespace Verbena::Weights {

namespace {

// Time after its last message for which a router counts as watching. Routers send the next one in less than half of it.
constexpr std::chrono::milliseconds watchTimeout{4000};

// Maximum number of published cache parts, the latest ones; they fit into one packet with the rest of the status.
constexpr std::size_t maximumParts = 150;

// Number of watching routers that each packet names, so that routers can request data from each other instead of the store. Each packet names the next ones,
// so that all are named within some seconds.
constexpr std::size_t maximumNamedRouters = 8;

// Maximum number of watching routers: more than the target has in one failure domain, and a limit for the cost of forged packets.
constexpr std::size_t maximumWatchers = 1024;

} // namespace

Core::Result<std::unique_ptr<NewsPublisher>> NewsPublisher::create(EventLoop::Loop &loop, const sockaddr_in &address, const std::string &engineAddress)
{
    std::unique_ptr<NewsPublisher> publisher(new NewsPublisher(loop, engineAddress));
    const auto receive = [raw = publisher.get()](const sockaddr_in &from, const verbena::wire::Envelope &message) {
        if (message.has_engine_watch()) {
            raw->recordWatcher(from);
            if (raw->m_watchObserver) {
                raw->m_watchObserver(message.engine_watch());
            }
        }
    };
    auto socket = Wire::DatagramSocket::bind(loop, address, receive);
    if (!socket) {
        return socket.error();
    }
    publisher->m_socket = std::move(socket.value());
    return publisher;
}

NewsPublisher::NewsPublisher(EventLoop::Loop &loop, const std::string &engineAddress)
    : m_loop(loop)
    , m_engineAddress(engineAddress)
{
}

void NewsPublisher::setWatchObserver(std::function<void(const verbena::wire::EngineWatch &)> observer)
{
    m_watchObserver = std::move(observer);
}

void NewsPublisher::recordWatcher(const sockaddr_in &address)
{
    const Core::TimePoint deadline = m_loop.now() + watchTimeout;
    const auto isSame = [&address](const Watcher &watcher) {
        return watcher.address.sin_addr.s_addr == address.sin_addr.s_addr && watcher.address.sin_port == address.sin_port;
    };
    const auto known = std::find_if(m_watchers.begin(), m_watchers.end(), isSame);
    if (known != m_watchers.end()) {
        known->deadline = deadline;
    } else if (m_watchers.size() < maximumWatchers) {
        m_watchers.push_back({address, deadline});
    }
}

std::uint32_t NewsPublisher::watcherCount() const
{
    const Core::TimePoint now = m_loop.now();
    return static_cast<std::uint32_t>(std::count_if(m_watchers.begin(), m_watchers.end(), [now](const Watcher &watcher) { return now < watcher.deadline; }));
}

void NewsPublisher::publish(const Decisions::EngineStatus &status)
{
    const Core::TimePoint now = m_loop.now();
    std::erase_if(m_watchers, [now](const Watcher &watcher) { return now >= watcher.deadline; });
    verbena::wire::Envelope message;
    verbena::wire::EngineNews &news = *message.mutable_engine_news();
    news.set_address(m_engineAddress);
    news.set_incarnation(status.incarnation);
    for (const Decisions::ServedWeights &weights : status.weights) {
        verbena::wire::EngineWeights &entry = *news.add_weights();
        entry.set_model(weights.model);
        entry.set_version(weights.version);
    }
    news.set_silent(status.isSilent);
    news.set_loading(status.isLoading);
    if (status.loadTime.has_value()) {
        const auto left = std::chrono::duration_cast<std::chrono::microseconds>(*status.loadTime - now);
        news.set_load_in_us(static_cast<std::uint64_t>(std::max<std::int64_t>(0, left.count())) + 1);
    }
    news.set_running(status.running);
    news.set_waiting(status.waiting);
    news.set_used_tokens(status.usedTokens);
    news.set_total_tokens(status.totalTokens);
    news.set_pace(status.pace.value_or(0));
    // The hashes of cached parts are by far the longest part of the status; a router that misses them receives them again soon.
    news.set_has_parts(status.parts.has_value());
    if (status.parts.has_value()) {
        const std::size_t count = std::min(status.parts->size(), maximumParts);
        for (std::size_t part = status.parts->size() - count; part < status.parts->size(); ++part) {
            news.add_parts(static_cast<std::uint64_t>((*status.parts)[part]));
        }
    }
    for (std::size_t count = 0; count < std::min(m_watchers.size(), maximumNamedRouters); ++count) {
        m_lastNamedWatcher = (m_lastNamedWatcher + 1) % m_watchers.size();
        news.add_routers(m_watchers[m_lastNamedWatcher].address.sin_addr.s_addr);
    }
    sendToWatchers(message);
}

void NewsPublisher::publishEnd()
{
    verbena::wire::Envelope message;
    verbena::wire::EngineNews &news = *message.mutable_engine_news();
    news.set_address(m_engineAddress);
    news.set_agent_ends(true);
    sendToWatchers(message);
}

void NewsPublisher::sendToWatchers(const verbena::wire::Envelope &message)
{
    for (const Watcher &watcher : m_watchers) {
        m_socket->send(watcher.address, message);
    }
}

} // namespace Verbena::Weights
