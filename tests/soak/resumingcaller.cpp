#include "resumingcaller.h"

#include "requestform.h"
#include "soakroutes.h"
#include "streamtext.h"

#include <eventloop/loop.h>

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds pause{10};
constexpr milliseconds pauseAfterFailure{80};

// A router that gives no final answer for so long after the deadline has lost the request.
constexpr milliseconds patience{20'000};

constexpr double leaveShare = 0.5;
constexpr double longShare = 0.6;
constexpr int mostAttempts = 12;
constexpr std::size_t shownBytes = 200;

} // namespace

ResumingCaller::ResumingCaller(
    EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, std::string name, Ledger &ledger, Decisions::RandomSource &random, Listener listener)
    : m_loop(loop)
    , m_routers(std::move(routers))
    , m_name(std::move(name))
    , m_ledger(ledger)
    , m_random(random)
    , m_listener(std::move(listener))
    , m_timer(loop,
          [this] {
              if (m_isWaiting) {
                  finish();
              } else {
                  send();
              }
          })
    , m_finished(loop, [this] { finish(); })
{
    begin();
}

void ResumingCaller::startAnew()
{
    m_isWaiting = false;
    m_resumed = 0;
    begin();
}

int ResumingCaller::resumed() const
{
    return m_resumed;
}

void ResumingCaller::begin()
{
    m_path = m_random.uniform() < longShare ? "/resume-long/" : "/resume/";
    m_token = "stream-" + m_name + '.' + std::to_string(m_count);
    m_begunBy.clear();
    m_text.clear();
    m_events = 0;
    m_attempts = 0;
    sendAgainAfter(pause);
}

void ResumingCaller::sendAgainAfter(milliseconds span)
{
    m_channel.reset();
    m_timer.startAt(m_loop.now() + span);
}

std::string ResumingCaller::resumeFields() const
{
    return m_events == 0 ? "" : "Last-Event-Id: " + std::to_string(m_events) + "\r\nResumes: " + m_begunBy + "\r\n";
}

// Returns the event after which the caller leaves, later than all that it has.
int ResumingCaller::drawLeaving()
{
    const int left = streamEvents - 1 - m_events;
    if (left <= 0 || m_random.uniform() >= leaveShare) {
        return 0;
    }
    return m_events + 1 + static_cast<int>(m_random.next() % static_cast<std::uint64_t>(left));
}

void ResumingCaller::send()
{
    m_router = m_random.next() % m_routers.size();
    auto channel = Http::TcpChannel::connect(m_loop, m_routers[m_router], *this);
    if (!channel) {
        sendAgainAfter(pauseAfterFailure);
        return;
    }
    m_channel = std::move(channel.value());
    m_reader = std::make_unique<Http::MessageReader>(Http::MessageReader::Kind::Answers, *this, Http::MessageLimits{});
    m_id = m_name + '.' + std::to_string(++m_count);
    m_head = {};
    m_rest.clear();
    m_leaveAfter = drawLeaving();
    m_isWaiting = true;
    m_isWhole = false;
    m_hasReceived = false;
    m_sentAt = m_loop.now();
    ++m_attempts;
    const milliseconds deadline = deadlineOf(m_path);
    const std::string fields = promptFields("a:5,c:5") + resumeFields();
    m_channel->write(headText({m_path + 'x', m_id, fields, deadline, m_token}, RequestForm::Plain) + m_token);
    m_timer.startAt(m_sentAt + deadline + patience);
}

void ResumingCaller::receiveBytes(std::string_view data)
{
    if (!m_isWaiting || m_isWhole) {
        m_ledger.noteBroken("caller " + m_name, "got bytes that nobody asked for");
        return;
    }
    m_hasReceived = true;
    if (m_reader->feed(data).has_value()) {
        m_ledger.noteBroken("request " + m_id, "got an answer that is no HTTP");
    }
    if (m_isWhole || (m_leaveAfter != 0 && m_events >= m_leaveAfter)) {
        m_finished.schedule();
    }
}

void ResumingCaller::receiveEnd(Http::ChannelEnd)
{
    if (m_isWaiting) {
        m_finished.schedule();
    }
}

void ResumingCaller::receiveHead(Http::MessageHead head)
{
    m_head = std::move(head);
}

void ResumingCaller::receiveBody(std::string_view data)
{
    if (m_head.status != 200) {
        return;
    }
    m_rest.append(data);
    takeWholeEvents();
    if (!isBeginningOfStream(m_text + m_rest, m_token)) {
        m_ledger.noteBroken("request " + m_id,
            "for " + m_path + ", resumed after event " + std::to_string(m_events) + " of " + m_begunBy
                + ", got a stream that is not the beginning of its own: " + (m_text + m_rest).substr(0, shownBytes * 2));
        m_leaveAfter = m_events;
    }
}

void ResumingCaller::takeWholeEvents()
{
    constexpr std::string_view eventEnd = "\n\n";
    for (std::size_t end = m_rest.find(eventEnd); end != std::string::npos; end = m_rest.find(eventEnd)) {
        m_text += m_rest.substr(0, end + eventEnd.size());
        m_rest.erase(0, end + eventEnd.size());
        ++m_events;
        if (m_begunBy.empty()) {
            m_begunBy = m_id;
        }
    }
}

void ResumingCaller::receiveEnd()
{
    m_isWhole = true;
}

bool ResumingCaller::isGoodEnd() const
{
    return m_isWhole && m_head.status == 200;
}

void ResumingCaller::finish()
{
    if (!m_isWaiting) {
        return;
    }
    m_isWaiting = false;
    const bool hasLeft = !m_isWhole && m_leaveAfter != 0 && m_events >= m_leaveAfter;
    const bool isUnanswered = !m_hasReceived && m_channel->hasSent();
    checkStatus();
    if (!hasLeft) {
        m_listener({m_router, m_path, m_isWhole ? m_head.status : 0, m_id, m_sentAt, m_loop.now(), isUnanswered, m_hasReceived && !m_isWhole});
    }
    if (isGoodEnd() || m_attempts >= mostAttempts) {
        m_resumed += isGoodEnd() && m_begunBy != m_id ? 1 : 0;
        begin();
        return;
    }
    sendAgainAfter(hasLeft ? pause : pauseAfterFailure);
}

void ResumingCaller::checkStatus()
{
    if (!m_isWhole) {
        return;
    }
    switch (m_head.status) {
    case 200:
        if (!isWholeStream(m_text + m_rest, m_token)) {
            m_ledger.noteBroken("request " + m_id, "got a stream that ended as whole and is not its own: " + m_text.substr(0, shownBytes));
        }
        m_ledger.noteServed();
        break;
    case 502:
    case 503:
    case 504:
        break;
    default:
        m_ledger.noteBroken("request " + m_id, "got status " + std::to_string(m_head.status));
        break;
    }
}

} // namespace Verbena::Soak
