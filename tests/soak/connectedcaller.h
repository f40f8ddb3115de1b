#pragma once

#include "ledger.h"
#include "outcome.h"
#include "requestform.h"

#include <decisions/spread/randomsource.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief What callers have in common: one connection, and on it one request after the other.
class ConnectedCaller : public Http::ChannelObserver, public Http::MessageSink
{
public:
    /// \brief Function that is called when a request has ended.
    using Listener = std::function<void(const Outcome &outcome)>;

    /// \brief Creates a caller that asks at once.
    ConnectedCaller(
        EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, std::string name, Ledger &ledger, Decisions::RandomSource &random, Listener listener);

    ConnectedCaller(const ConnectedCaller &) = delete;
    ConnectedCaller &operator=(const ConnectedCaller &) = delete;

protected:
    static constexpr std::size_t shownBytes = 200; ///< Most bytes of an answer that a note shows.

    /// \brief Begins the next request, which is due.
    virtual void ask() = 0;

    /// \brief Returns whether so much of an answer has come that the rest isn't waited for.
    virtual bool hasEnough() const = 0;

    /// \brief Judges the request that has ended and settles when the next one is due; \a isTimedOut says whether its answer took too long.
    virtual void conclude(bool isTimedOut) = 0;

    /// \brief Asks after \a span.
    void askAfter(std::chrono::milliseconds span);

    /// \brief Drops the present request and the connection, and asks no more.
    void abandon();

    /// \brief Connects to the router; returns whether that didn't fail at once.
    bool connect();

    /// \brief Takes a new id and forgets the last answer.
    void prepare();

    /// \brief Sends the request for the present path, with \a fields and the token as its body.
    void send(const std::string &fields, RequestForm form);

    /// \brief Returns how the request ended, while its connection is still there.
    Outcome outcome() const;

    /// \brief Notes that the present request broke a promise.
    void noteBroken(const std::string &text) const;

    Ledger &m_ledger;
    Decisions::RandomSource &m_random;
    Listener m_listener;
    std::vector<Http::Endpoint> m_routers;
    std::size_t m_router = 0;
    std::unique_ptr<Http::TcpChannel> m_channel; ///< Null if there is no connection.
    std::string m_path;
    std::string m_token;
    std::string m_id; ///< Of the last request; number 0 before the first one.
    Http::MessageHead m_head;
    bool m_isWhole = false; ///< Whether the current answer is.

private:
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void receiveHead(Http::MessageHead head) override;
    void receiveEnd() override;
    void finish(bool isTimedOut);

    EventLoop::Loop &m_loop;
    std::string m_name;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_finished;
    std::unique_ptr<Http::MessageReader> m_reader;
    Core::TimePoint m_sentAt;
    int m_count = 0;
    bool m_isWaiting = false;
    bool m_hasReceived = false; ///< Whether any byte of the current answer has come.
    bool m_isBodyHeld = false; ///< Whether the body of the current request waits to be asked for.
};

} // namespace Verbena::Soak
