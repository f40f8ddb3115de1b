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

    /// \brief Errors, after which nothing was sent: Unavailable, if the router has disconnected; ResourceExhausted, if it does not read.
    virtual Core::Result<void> sendToRouter(const std::string &peer, const verbena::wire::Envelope &message) = 0;
};

/// \brief Receives the events of a RouterOutput that need a decision of its owner.
class RouterOutputOwner
{
public:
    virtual ~RouterOutputOwner() = default;

    /// \brief Handles that the router can no longer be reached.
    virtual void routerGone(const std::string &peer) = 0;

    /// \brief Handles that more of the run may be sent.
    virtual void retryRun(const Decisions::RequestRef &ref) = 0;
};

/// \brief Sends output and replies to routers, and buffers what a router does not read in time.
class RouterOutput
{
public:
    RouterOutput(EventLoop::Loop &loop, RouterSender &sender, RouterOutputOwner &owner);

    /// \brief Sends a reply now, or when the router reads again.
    void send(const std::string &peer, const verbena::wire::Envelope &message);

    /// \brief Sends the output of \a run that may be sent; returns whether all of it was sent, including its end.
    bool flush(AgentRun &run);

    /// \brief Discards the buffered messages to \a peer.
    void forget(const std::string &peer);

    /// \brief Returns whether no reply is buffered.
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
    verbena::wire::Envelope m_frame; ///< Reused for every frame to avoid allocations.
    std::deque<Reply> m_replies;
    std::set<Decisions::RequestRef> m_blocked;
    std::set<std::string> m_gone;
    EventLoop::Timer m_retryTimer;
    EventLoop::DeferredCall m_reportGone;
};

} // namespace Verbena::Agent
