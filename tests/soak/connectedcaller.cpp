#include "connectedcaller.h"

#include "soakroutes.h"

#include <eventloop/loop.h>

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

// A router that gives no final answer for so long after the deadline has lost the request.
constexpr milliseconds patience{20'000};

constexpr std::string_view interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns whether the data has nothing but interim answers, which are nothing of the answer itself.
bool isInterim(std::string_view data)
{
    while (data.starts_with(interimAnswer)) {
        data.remove_prefix(interimAnswer.size());
    }
    return interimAnswer.starts_with(data);
}

} // namespace

ConnectedCaller::ConnectedCaller(
    EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, std::string name, Ledger &ledger, Decisions::RandomSource &random, Listener listener)
    : m_ledger(ledger)
    , m_random(random)
    , m_listener(std::move(listener))
    , m_routers(std::move(routers))
    , m_id(name + ".0")
    , m_loop(loop)
    , m_name(std::move(name))
    , m_timer(loop,
          [this] {
              if (m_isWaiting) {
                  finish(true);
              } else {
                  ask();
              }
          })
    , m_finished(loop, [this] { finish(false); })
{
    m_timer.startAt(loop.now());
}

void ConnectedCaller::finish(bool isTimedOut)
{
    if (!m_isWaiting) {
        return;
    }
    m_isWaiting = false;
    conclude(isTimedOut);
}

void ConnectedCaller::askAfter(milliseconds span)
{
    m_timer.startAt(m_loop.now() + span);
}

void ConnectedCaller::abandon()
{
    m_isWaiting = false;
    m_timer.stop();
    m_channel.reset();
}

bool ConnectedCaller::connect()
{
    auto channel = Http::TcpChannel::connect(m_loop, m_routers[m_router], *this);
    if (!channel) {
        return false;
    }
    m_channel = std::move(channel.value());
    return true;
}

void ConnectedCaller::prepare()
{
    m_reader = std::make_unique<Http::MessageReader>(Http::MessageReader::Kind::Answers, *this, Http::MessageLimits{});
    m_id = m_name + '.' + std::to_string(++m_count);
    m_head = {};
    m_isWhole = false;
    m_hasReceived = false;
}

void ConnectedCaller::send(const std::string &fields, RequestForm form)
{
    m_isWaiting = true;
    m_sentAt = m_loop.now();
    m_isBodyHeld = form == RequestForm::Expecting;
    const milliseconds deadline = deadlineOf(m_path);
    m_channel->write(headText({m_path + 'x', m_id, fields, deadline, m_token}, form) + (m_isBodyHeld ? "" : m_token));
    if (form == RequestForm::HalfClosed) {
        m_channel->shutdownOutput();
    }
    m_timer.startAt(m_sentAt + deadline + patience);
}

Outcome ConnectedCaller::outcome() const
{
    const bool isUnanswered = !m_hasReceived && m_channel->hasSent();
    const bool isCut = m_hasReceived && !m_isWhole;
    return {m_router, m_path, m_isWhole ? m_head.status : 0, m_id, m_sentAt, m_loop.now(), isUnanswered, isCut};
}

void ConnectedCaller::noteBroken(const std::string &text) const
{
    m_ledger.noteBrokenRequest(m_id, text);
}

void ConnectedCaller::receiveBytes(std::string_view data)
{
    if (!m_isWaiting || m_isWhole) {
        m_ledger.noteBroken("caller " + m_name, "got bytes that nobody asked for");
        return;
    }
    const bool isInterimOnly = isInterim(data);
    m_hasReceived = m_hasReceived || !isInterimOnly;
    if (m_isBodyHeld && isInterimOnly) {
        m_isBodyHeld = false;
        m_channel->write(m_token);
    }
    if (m_reader->feed(data).has_value()) {
        noteBroken("got an answer that is no HTTP");
    }
    if (m_isWhole || hasEnough()) {
        m_finished.schedule();
    }
}

void ConnectedCaller::receiveEnd(Http::ChannelEnd)
{
    if (m_isWaiting) {
        m_finished.schedule();
        return;
    }
    m_channel.reset();
}

void ConnectedCaller::receiveHead(Http::MessageHead head)
{
    m_head = std::move(head);
}

void ConnectedCaller::receiveEnd()
{
    m_isWhole = true;
}

} // namespace Verbena::Soak
