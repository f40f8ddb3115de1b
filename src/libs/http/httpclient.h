#pragma once

#include "httpcall.h"

#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::Http {

/// \brief Identifies a running call of one client.
enum class HttpCallId : std::uint64_t {};

/// \brief An HTTP client on one event loop, based on the multi interface of libcurl.
class HttpClient
{
public:
    /// \brief Creates a client. Errors: Internal, if libcurl cannot be initialised.
    static Core::Result<std::unique_ptr<HttpClient>> create(EventLoop::Loop &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \brief Starts a call. The client keeps \a receiver alive until the call has ended or is cancelled.
    HttpCallId start(const HttpCall &call, std::shared_ptr<HttpReceiver> receiver);

    /// \brief Cancels a call without notifying its receiver, and closes the connection.
    void cancel(HttpCallId id);

    /// \brief Stops reading the response until resume() is called, which applies back-pressure to the peer.
    void pause(HttpCallId id);
    void resume(HttpCallId id);

private:
    struct Transfer;
    struct SocketWatch;
    struct Internals;

    explicit HttpClient(EventLoop::Loop &loop);
    void applyOptions(Transfer &transfer, const HttpCall &call) const;
    void processFinished();
    void addWaiting();
    void removeCancelled();
    void recordTooLong(const Core::Error &error, const char *limit);

    EventLoop::Loop &m_loop;
    void *m_multi = nullptr;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
    std::vector<std::uint64_t> m_waiting;
    std::vector<std::uint64_t> m_cancelled;
    std::uint64_t m_tooLongCount = 0; ///< Calls whose answers were too long and that no logged line counts.
    Core::TimePoint m_nextTooLongLog;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_add;
    EventLoop::DeferredCall m_remove;
};

} // namespace Verbena::Http
