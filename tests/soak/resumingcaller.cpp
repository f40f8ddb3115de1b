#include "resumingcaller.h"

#include "streamtext.h"

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds pause{10};
constexpr milliseconds pauseAfterFailure{80};

constexpr double leaveShare = 0.5;
constexpr double longShare = 0.6;
constexpr int mostAttempts = 12;

} // namespace

ResumingCaller::ResumingCaller(
    EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, std::string name, Ledger &ledger, Decisions::RandomSource &random, Listener listener)
    : ConnectedCaller(loop, std::move(routers), std::move(name), ledger, random, std::move(listener))
{
    begin();
}

void ResumingCaller::startAnew()
{
    abandon();
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
    m_token = "stream-" + m_id;
    m_begunBy.clear();
    m_text.clear();
    m_events = 0;
    m_attempts = 0;
    askAfter(pause);
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

void ResumingCaller::ask()
{
    m_router = m_random.next() % m_routers.size();
    if (!connect()) {
        askAfter(pauseAfterFailure);
        return;
    }
    prepare();
    m_rest.clear();
    m_leaveAfter = drawLeaving();
    ++m_attempts;
    send(promptFields("a:5,c:5") + resumeFields(), RequestForm::Plain);
}

bool ResumingCaller::hasEnough() const
{
    return m_leaveAfter != 0 && m_events >= m_leaveAfter;
}

void ResumingCaller::receiveBody(std::string_view data)
{
    if (m_head.status != 200) {
        return;
    }
    m_rest.append(data);
    takeWholeEvents();
    if (!isBeginningOfStream(m_text + m_rest, m_token)) {
        noteBroken("for " + m_path + ", resumed after event " + std::to_string(m_events) + " of " + m_begunBy
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

void ResumingCaller::conclude(bool)
{
    const bool isGood = m_isWhole && m_head.status == 200;
    const bool hasLeft = !m_isWhole && hasEnough();
    checkStatus();
    if (!hasLeft) {
        m_listener(outcome());
    }
    m_channel.reset();
    if (isGood || m_attempts >= mostAttempts) {
        m_resumed += isGood && m_begunBy != m_id ? 1 : 0;
        begin();
        return;
    }
    askAfter(hasLeft ? pause : pauseAfterFailure);
}

void ResumingCaller::checkStatus()
{
    if (!m_isWhole) {
        return;
    }
    switch (m_head.status) {
    case 200:
        if (!isWholeStream(m_text + m_rest, m_token)) {
            noteBroken("got a stream that ended as whole and is not its own: " + m_text.substr(0, shownBytes));
        }
        m_ledger.noteServed();
        break;
    case 502:
    case 503:
    case 504:
        break;
    default:
        noteBroken("got status " + std::to_string(m_head.status));
        break;
    }
}

} // namespace Verbena::Soak
