#include "soakcaller.h"

#include "soakroutes.h"
#include "soakworker.h"
#include "streamtext.h"

#include <eventloop/loop.h>

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds pause{5};
constexpr milliseconds pauseAfterFailure{40};
constexpr milliseconds rarePause{100};
constexpr std::size_t shownBytes = 200;

// A router that gives no final answer for so long after the deadline has lost the request.
constexpr milliseconds patience{20'000};

// Of requests that go to the router that was asked last, on the same connection.
constexpr double stayShare = 0.8;

// Almost as much as the configuration allows.
constexpr std::size_t largeBody = 95'000;

// A caller closes an answer that grows so large: no proper one does.
constexpr std::size_t largestAnswer = 256 * 1024;

bool isWholeAnswer(const std::string &body, const std::string &path, const std::string &token)
{
    return isStream(path) ? isWholeStream(body, token) : body == answerText(token);
}

} // namespace

SoakCaller::SoakCaller(
    EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, const std::string &name, Ledger &ledger, Decisions::RandomSource &random, Listener listener)
    : m_loop(loop)
    , m_routers(std::move(routers))
    , m_name(name)
    , m_ledger(ledger)
    , m_random(random)
    , m_listener(std::move(listener))
    , m_timer(loop,
          [this] {
              if (m_isWaiting) {
                  finish(false);
              } else {
                  ask();
              }
          })
    , m_finished(loop, [this] { finish(m_isWhole); })
{
    m_timer.startAt(loop.now());
}

SoakCaller::~SoakCaller() = default;

void SoakCaller::pinTo(std::size_t router, const std::string &path)
{
    m_router = router;
    m_pinnedPath = path;
}

void SoakCaller::askFor(std::vector<std::string> paths)
{
    m_paths = std::move(paths);
}

void SoakCaller::sendEndless()
{
    m_isEndless = true;
}

void SoakCaller::sendLarge()
{
    m_isLarge = true;
}

void SoakCaller::sendCrashing(CrashCause cause)
{
    m_crashCause = cause;
}

void SoakCaller::stop()
{
    m_isStopped = true;
    m_isWaiting = false;
    m_timer.stop();
    m_channel.reset();
}

void SoakCaller::ask()
{
    if (m_isStopped) {
        return;
    }
    if (m_pinnedPath.empty()) {
        m_path = m_paths[m_random.next() % m_paths.size()];
        if (m_channel == nullptr || m_random.uniform() > stayShare) {
            m_router = m_random.next() % m_routers.size();
            m_channel.reset();
        }
    } else {
        m_path = m_pinnedPath;
    }
    if (m_channel == nullptr) {
        auto channel = Http::TcpChannel::connect(m_loop, m_routers[m_router], *this);
        if (!channel) {
            m_timer.startAt(m_loop.now() + pauseAfterFailure);
            return;
        }
        m_channel = std::move(channel.value());
    }
    send();
}

std::string SoakCaller::drawToken() const
{
    if (m_isEndless) {
        return endlessToken;
    }
    const std::string token = "token-" + m_id;
    if (m_isLarge) {
        return token + std::string(largeBody, '.');
    }
    return m_crashCause == CrashCause::Request ? crashingToken : token;
}

std::string SoakCaller::drawParts() const
{
    return m_crashCause == CrashCause::PromptPart ? std::string("a:3,") + crashingPart + ":2,b:5" : "a:5,b:5";
}

void SoakCaller::send()
{
    m_reader = std::make_unique<Http::MessageReader>(Http::MessageReader::Kind::Answers, *this, Http::MessageLimits{});
    m_id = m_name + '.' + std::to_string(++m_count);
    if (m_crashCause.has_value()) {
        m_path = *m_crashCause == CrashCause::Request ? "/safe/" : "/resume/";
    }
    m_token = drawToken();
    m_head = {};
    m_body.clear();
    m_isWaiting = true;
    m_isWhole = false;
    m_hasReceived = false;
    m_sentAt = m_loop.now();
    const std::string prompt = isResumable(m_path) ? promptFields(drawParts()) : "";
    const milliseconds deadline = deadlineOf(m_path);
    const RequestForm form = drawForm(m_random);
    m_isBodyHeld = form == RequestForm::Expecting;
    m_channel->write(headText({m_path + 'x', m_id, prompt, deadline, m_token}, form) + (m_isBodyHeld ? "" : m_token));
    m_timer.startAt(m_sentAt + deadline + patience);
}

void SoakCaller::receiveBytes(std::string_view data)
{
    if (!m_isWaiting || m_isWhole) {
        m_ledger.noteBroken("caller " + m_name, "got bytes that nobody asked for");
        return;
    }
    if (m_isBodyHeld && data.starts_with("HTTP/1.1 100")) {
        sendHeldBody();
    } else {
        m_hasReceived = true;
    }
    if (m_reader->feed(data).has_value()) {
        m_ledger.noteBroken("request " + m_id, "got an answer that is no HTTP");
    }
    if (m_isWhole || m_body.size() > largestAnswer) {
        m_finished.schedule();
    }
}

void SoakCaller::sendHeldBody()
{
    m_isBodyHeld = false;
    m_channel->write(m_token);
}

void SoakCaller::receiveEnd(Http::ChannelEnd)
{
    if (m_isWaiting) {
        m_finished.schedule();
        return;
    }
    m_channel.reset();
}

void SoakCaller::receiveHead(Http::MessageHead head)
{
    m_head = std::move(head);
}

void SoakCaller::receiveBody(std::string_view data)
{
    m_body.append(data);
}

void SoakCaller::receiveEnd()
{
    m_isWhole = true;
}

void SoakCaller::finish(bool isWhole)
{
    if (!m_isWaiting) {
        return;
    }
    m_isWaiting = false;
    const int status = isWhole ? m_head.status : 0;
    if (isWhole) {
        checkWhole();
    } else {
        checkPart();
    }
    const bool isUnanswered = !m_hasReceived && m_channel->hasSent();
    const bool isCut = m_hasReceived && !isWhole;
    if (!isWhole || !m_head.isKeptAlive) {
        m_channel.reset();
    }
    m_listener({m_router, m_path, status, m_id, m_sentAt, m_loop.now(), isUnanswered, isCut});
    if (!m_isStopped) {
        const milliseconds next = m_crashCause.has_value() || m_isEndless ? rarePause : status == 200 ? pause : pauseAfterFailure;
        m_timer.startAt(m_loop.now() + next);
    }
}

void SoakCaller::checkWhole()
{
    switch (m_head.status) {
    case 200:
        if (!m_isEndless && !isWholeAnswer(m_body, m_path, m_token)) {
            m_ledger.noteBroken("request " + m_id, "got another answer than its own: " + m_body.substr(0, shownBytes));
        }
        m_ledger.noteServed();
        break;
    case 503:
        m_ledger.notePromise(m_id, mayRepeat(m_path));
        break;
    case 502:
    case 504:
        break;
    case 404:
        if (m_pinnedPath.empty()) {
            m_ledger.noteBroken("request " + m_id, "on a route that always was got 404");
        }
        break;
    default:
        m_ledger.noteBroken("request " + m_id, "got status " + std::to_string(m_head.status));
        break;
    }
}

// What came of a stream that broke off must be its beginning.
void SoakCaller::checkPart() const
{
    if (isStream(m_path) && !m_isEndless && m_head.status == 200 && !isBeginningOfStream(m_body, m_token)) {
        m_ledger.noteBroken("request " + m_id, "got a stream that is not the beginning of its own: " + m_body.substr(0, shownBytes));
    }
}

} // namespace Verbena::Soak
