#pragma once

#include "runtable.h"

#include <core/result.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>

#include <deque>
#include <set>
#include <string>

namespace Verbena::Agent {

/// \brief Sends messages to routers.
class RouterSender
{
public:
    virtual ~RouterSender() = default;

    /// \brief Errors, after which nothing was sent: Unavailable, if the router is gone; ResourceExhausted, if it does not read.
    virtual Core::Result<void> sendToRouter(const std::string &peer, const verbena::wire::Envelope &message) = 0;
};

/// \brief Takes what a RouterOutput cannot decide.
class RouterOutputOwner
{
public:
    virtual ~RouterOutputOwner() = default;

    /// \brief Nothing reaches the router any more.
    virtual void routerGone(const std::string &peer) = 0;

    /// \brief The run is to be flushed again.
    virtual void retryRun(const Decisions::RequestRef &ref) = 0;
};

/// \brief Sends output and replies to routers, and keeps what a router does not read in time.
class RouterOutput
{
public:
    RouterOutput(EventLoop::Loop &loop, RouterSender &sender, RouterOutputOwner &owner);

    /// \brief Sends a reply now, or as soon as the router reads again.
    void send(const std::string &peer, const verbena::wire::Envelope &message);

    /// \brief Sends what may be sent of \a run; true once all of it has been sent, its end included.
    bool flush(AgentRun &run);

    /// \brief Drops what is kept for \a peer.
    void forget(const std::string &peer);

    /// \brief True if no reply is kept.
    bool isEmpty() const;

private:
    struct Reply
    {
        std::string peer;
        verbena::wire::Envelope message;
    };

    Core::Result<void> trySend(const std::string &peer, const verbena::wire::Envelope &message);
    bool sendFrame(AgentRun &run);
    bool sendEnd(AgentRun &run);
    void retry();
    void reportGone();

    EventLoop::Loop &m_loop;
    RouterSender &m_sender;
    RouterOutputOwner &m_owner;
    verbena::wire::Envelope m_frame; ///< Kept, so that its memory is used again.
    std::deque<Reply> m_replies;
    std::set<Decisions::RequestRef> m_blocked;
    std::set<std::string> m_gone;
    EventLoop::Timer m_retryTimer;
    EventLoop::DeferredCall m_reportGone;
};

} // namespace Verbena::Agent
