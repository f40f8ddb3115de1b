#include "soakcaller.h"

#include "soakroutes.h"
#include "soakworker.h"
#include "streamtext.h"

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds pause{5};
constexpr milliseconds pauseAfterFailure{40};
constexpr milliseconds rarePause{100};

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

void SoakCaller::keepSendingSide()
{
    m_keepsSendingSide = true;
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
    abandon();
}

void SoakCaller::ask()
{
    if (m_isStopped) {
        return;
    }
    drawTarget();
    if (m_channel == nullptr && !connect()) {
        askAfter(pauseAfterFailure);
        return;
    }
    sendNext();
}

void SoakCaller::drawTarget()
{
    if (!m_pinnedPath.empty()) {
        m_path = m_pinnedPath;
        return;
    }
    m_path = m_paths[m_random.next() % m_paths.size()];
    if (m_channel == nullptr || m_random.uniform() > stayShare) {
        m_router = m_random.next() % m_routers.size();
        m_channel.reset();
    }
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

void SoakCaller::sendNext()
{
    prepare();
    if (m_crashCause.has_value()) {
        m_path = *m_crashCause == CrashCause::Request ? "/safe/" : "/resume/";
    }
    m_token = drawToken();
    m_body.clear();
    const std::string prompt = isResumable(m_path) ? promptFields(drawParts()) : "";
    send(prompt, drawOwnForm());
}

RequestForm SoakCaller::drawOwnForm() const
{
    const RequestForm form = drawForm(m_random);
    return m_keepsSendingSide && form == RequestForm::HalfClosed ? RequestForm::Plain : form;
}

void SoakCaller::receiveBody(std::string_view data)
{
    m_body.append(data);
}

bool SoakCaller::hasEnough() const
{
    return m_body.size() > largestAnswer;
}

void SoakCaller::conclude(bool isTimedOut)
{
    // An answer that becomes whole only now is too late.
    m_isWhole = m_isWhole && !isTimedOut;
    if (m_isWhole) {
        checkWhole();
    } else {
        checkPart();
    }
    const Outcome ended = outcome();
    if (!m_isWhole || !m_head.isKeptAlive) {
        m_channel.reset();
    }
    m_listener(ended);
    if (!m_isStopped) {
        askAfter(m_crashCause.has_value() || m_isEndless ? rarePause : ended.status == 200 ? pause : pauseAfterFailure);
    }
}

void SoakCaller::checkWhole()
{
    switch (m_head.status) {
    case 200:
        if (!m_isEndless && !isWholeAnswer(m_body, m_path, m_token)) {
            noteBroken("got another answer than its own: " + m_body.substr(0, shownBytes));
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
            noteBroken("on a route that always was got 404");
        }
        break;
    default:
        noteBroken("got status " + std::to_string(m_head.status));
        break;
    }
}

// What came of a stream that broke off must be its beginning.
void SoakCaller::checkPart() const
{
    if (isStream(m_path) && !m_isEndless && m_head.status == 200 && !isBeginningOfStream(m_body, m_token)) {
        noteBroken("got a stream that is not the beginning of its own: " + m_body.substr(0, shownBytes));
    }
}

} // namespace Verbena::Soak
