#include "routeroutput.h"

#include <eventloop/loop.h>

namespace Verbena::Agent {

namespace {

constexpr std::chrono::milliseconds retryInterval{5};
// A router that leaves more replies than this unread is of no use any more.
constexpr std::size_t maximumReplies = 4096;

bool isBlocked(const Core::Result<void> &result)
{
    return !result && result.error().code == Core::ErrorCode::ResourceExhausted;
}

} // namespace

RouterOutput::RouterOutput(EventLoop::Loop &loop, RouterSender &sender, RouterOutputOwner &owner)
    : m_loop(loop)
    , m_sender(sender)
    , m_owner(owner)
    , m_retryTimer(loop, [this] { retry(); })
    , m_reportGone(loop, [this] { reportGone(); })
{
}

void RouterOutput::send(const std::string &peer, const verbena::wire::Envelope &message)
{
    if (!isBlocked(trySend(peer, message))) {
        return;
    }
    if (m_replies.size() >= maximumReplies) {
        m_gone.insert(peer);
        m_reportGone.schedule();
        return;
    }
    m_replies.push_back({peer, message});
    m_retryTimer.startAt(m_loop.now() + retryInterval);
}

bool RouterOutput::flush(AgentRun &run)
{
    while (run.frames.isReady()) {
        if (!sendFrame(run)) {
            return false;
        }
    }
    return run.end && run.frames.isEmpty() && sendEnd(run);
}

void RouterOutput::forget(const std::string &peer)
{
    std::erase_if(m_replies, [&peer](const Reply &reply) { return reply.peer == peer; });
}

bool RouterOutput::isEmpty() const
{
    return m_replies.empty();
}

Core::Result<void> RouterOutput::trySend(const std::string &peer, const verbena::wire::Envelope &message)
{
    Core::Result<void> result = m_sender.sendToRouter(peer, message);
    if (!result && !isBlocked(result)) {
        // Its runs cannot be ended here, in the middle of what one of them does.
        m_gone.insert(peer);
        m_reportGone.schedule();
    }
    return result;
}

bool RouterOutput::sendFrame(AgentRun &run)
{
    verbena::wire::Frame &frame = *m_frame.mutable_frame();
    frame.set_request(run.dispatch.request());
    frame.set_attempt(run.dispatch.attempt());
    frame.set_sequence(run.frames.sequence());
    frame.set_tokens(run.frames.tokens());
    frame.set_text(run.frames.text());
    const Core::Result<void> result = trySend(run.peer, m_frame);
    if (result) {
        run.frames.pop();
        return true;
    }
    if (isBlocked(result)) {
        m_blocked.insert(run.ref());
        m_retryTimer.startAt(m_loop.now() + retryInterval);
    }
    return false;
}

bool RouterOutput::sendEnd(AgentRun &run)
{
    verbena::wire::Envelope envelope;
    *envelope.mutable_ended() = *run.end;
    envelope.mutable_ended()->set_sequence(run.frames.sequence());
    const Core::Result<void> result = trySend(run.peer, envelope);
    if (isBlocked(result)) {
        m_blocked.insert(run.ref());
        m_retryTimer.startAt(m_loop.now() + retryInterval);
    }
    return result.has_value();
}

void RouterOutput::retry()
{
    std::deque<Reply> replies;
    replies.swap(m_replies);
    for (const Reply &reply : replies) {
        send(reply.peer, reply.message);
    }
    std::set<Decisions::RequestRef> blocked;
    blocked.swap(m_blocked);
    for (const Decisions::RequestRef &ref : blocked) {
        m_owner.retryRun(ref);
    }
}

void RouterOutput::reportGone()
{
    std::set<std::string> gone;
    gone.swap(m_gone);
    for (const std::string &peer : gone) {
        m_owner.routerGone(peer);
    }
}

} // namespace Verbena::Agent
