#include "soakworker.h"

#include "endlesssource.h"
#include "oddentry.h"
#include "soakroutes.h"
#include "streamtext.h"

#include <eventloop/deferredcall.h>
#include <eventloop/loop.h>
#include <support/chunk.h>

#include <optional>

namespace Verbena::Soak {

using nlohmann::json;
using std::chrono::milliseconds;
using Test::chunk;

namespace {

constexpr milliseconds eventPause{8};
constexpr milliseconds workTime{10};

std::string field(const Http::MessageHead &head, const char *name)
{
    const std::string *value = head.field(name);
    return value == nullptr ? "" : *value;
}

std::string whole(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

std::string answerText(const std::string &token)
{
    return "answer to " + token;
}

// One connection of a router or an agent.
class SoakWorker::Connection : private Http::ChannelObserver, private Http::MessageSink
{
public:
    Connection(SoakWorker &worker, int descriptor)
        : m_worker(worker)
        , m_channel(Http::TcpChannel::adopt(worker.m_loop, descriptor, *this))
        , m_reader(Http::MessageReader::Kind::Requests, *this, {})
        , m_timer(worker.m_loop, [this] { goOn(); })
        , m_close(worker.m_loop, [this] { m_worker.m_connections.erase(this); })
    {
    }

    // What is at work now ends without its answer, or without the end of it, by the server's fault.
    void breakOff()
    {
        if (m_isWorking) {
            m_worker.m_ledger.noteBrokenOff(m_id);
        }
    }

private:
    enum class Fault { None, Lose, Cut, Cross, Refuse };

    void receiveBytes(std::string_view data) override
    {
        if (m_endless != nullptr) {
            return;
        }
        (void)m_reader.feed(data);
        if (m_reader.isDone()) {
            handle();
            m_body.clear();
            (void)m_reader.next();
        }
    }

    void receiveEnd(Http::ChannelEnd) override
    {
        m_worker.m_connections.erase(this);
    }

    void receiveHead(Http::MessageHead head) override
    {
        m_head = std::move(head);
    }

    void receiveBody(std::string_view data) override
    {
        m_body.append(data);
    }

    void receiveEnd() override
    {
    }

    // What is written leaves with the end of the loop's iteration; a server that crashes before keeps it back.
    void outputDrained() override
    {
        if (m_isAnswered) {
            endWork();
        }
    }

    void handle()
    {
        const bool isCall = m_head.target == "/report" || m_head.target.starts_with("/kv-events");
        if (isCall && m_worker.m_hasEndlessCalls) {
            sendEndless("", m_head.target == "/report" ? m_worker.report() : m_worker.cacheEvents());
        } else if (m_head.target == "/report") {
            m_channel->write(whole("200 OK", "", m_worker.report()));
        } else if (m_head.target == "/order") {
            m_channel->write(whole(m_worker.takeOrder(m_body), "", ""));
        } else if (m_head.target.rfind("/kv-events", 0) == 0) {
            m_channel->write(whole("200 OK", "", m_worker.cacheEvents()));
        } else {
            serve();
        }
    }

    void serve()
    {
        const std::string expectedVersion = field(m_head, "Verbenaladder-Expect-Version");
        const bool isOther = field(m_head, "Verbenaladder-Expect-Instance") != m_worker.id();
        if (isOther || (!expectedVersion.empty() && expectedVersion != std::to_string(m_worker.m_version))) {
            m_channel->write(whole("421 Misdirected", "Verbenaladder-Instance-Id: " + m_worker.id() + "\r\n", ""));
            return;
        }
        m_fault = drawFault();
        if (m_fault == Fault::Refuse) {
            m_channel->write(whole("503 Full", "Verbenaladder-Not-Run: 1\r\n", ""));
            return;
        }
        m_token = m_body;
        m_id = field(m_head, "Verbenaladder-Attempt-Id");
        if (const std::optional<CrashCause> cause = crashCause()) {
            m_worker.m_ledger.noteBrokenOff(m_id);
            m_worker.m_ledger.noteCrash(*cause, m_worker.m_loop.now());
            m_worker.m_crashObserver();
            return;
        }
        m_worker.m_ledger.noteRun(m_id, mayRepeat(m_head.target));
        m_isWorking = true;
        if (m_fault != Fault::None) {
            breakOff();
        }
        const std::string last = field(m_head, "Last-Event-Id");
        m_nextEvent = last.empty() ? 1 : std::stoi(last) + 1;
        m_isStream = isStream(m_head.target);
        m_hasHead = false;
        m_isAnswered = false;
        const milliseconds work = isSlow(m_head.target) ? drawWorkTime() : workTime;
        m_eventPause = isSlow(m_head.target) ? work / streamEvents : eventPause;
        m_timer.startAt(m_worker.m_loop.now() + (m_isStream ? m_eventPause : work));
    }

    milliseconds drawWorkTime()
    {
        constexpr double least = 0.9;
        constexpr double spread = 0.2;
        const double factor = least + spread * m_worker.m_random.uniform();
        return milliseconds(static_cast<int>(factor * static_cast<double>(m_worker.m_workTime.count())));
    }

    // From now on this connection does nothing but send.
    void sendEndless(const std::string &fields, const std::string &body)
    {
        m_endless = std::make_unique<EndlessSource>(m_worker.m_loop, *m_channel, drawEndlessAnswer(m_worker.m_random, fields, body), m_worker.m_random);
    }

    void endWork()
    {
        if (m_isWorking) {
            m_worker.m_ledger.noteRunEnd(m_id);
        }
        m_isWorking = false;
    }

    std::optional<CrashCause> crashCause() const
    {
        if (m_token == crashingToken) {
            return CrashCause::Request;
        }
        const bool hasPart = field(m_head, "Verbenaladder-Prompt-Prefix").find(crashingPart) != std::string::npos;
        return hasPart ? std::optional(CrashCause::PromptPart) : std::nullopt;
    }

    Fault drawFault()
    {
        if (m_worker.m_random.uniform() >= m_worker.m_faultShare) {
            return Fault::None;
        }
        return static_cast<Fault>(1 + m_worker.m_random.next() % 4);
    }

    void goOn()
    {
        if (m_token == endlessToken) {
            breakOff();
            sendEndless(fields(), m_isStream ? eventText(1, m_token, m_worker.m_terms.software) : answerText(m_token));
        } else if (m_fault == Fault::Lose) {
            m_channel->resetOnClose();
            m_close.schedule();
        } else if (m_isStream) {
            sendEvent();
        } else {
            sendAnswer();
        }
    }

    std::string fields() const
    {
        return "Verbenaladder-Attempt-Id: " + (m_fault == Fault::Cross ? "crossed" : m_id) + "\r\nVerbenaladder-Server-Stamp: s\r\n";
    }

    void sendAnswer()
    {
        const std::string answer = whole("200 OK", fields(), answerText(m_token));
        if (m_fault == Fault::Cut) {
            m_channel->write(answer.substr(0, answer.size() - 3));
            m_close.schedule();
            return;
        }
        m_channel->write(answer);
        m_isAnswered = true;
    }

    void sendEvent()
    {
        if (!m_hasHead) {
            m_hasHead = true;
            m_channel->write("HTTP/1.1 200 OK\r\n" + fields() + "Transfer-Encoding: chunked\r\n\r\n");
        }
        if (m_nextEvent > streamEvents) {
            m_channel->write("0\r\n\r\n");
            m_isAnswered = true;
            return;
        }
        const std::string text = eventText(m_nextEvent, m_token, m_worker.m_terms.software);
        if (m_fault == Fault::Cut && m_nextEvent == streamEvents / 2) {
            m_channel->write(chunk(text.substr(0, text.size() / 2)));
            m_close.schedule();
            return;
        }
        m_channel->write(chunk(text));
        ++m_nextEvent;
        m_timer.startAt(m_worker.m_loop.now() + m_eventPause);
    }

    SoakWorker &m_worker;
    std::unique_ptr<Http::TcpChannel> m_channel;
    Http::MessageReader m_reader;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_close;
    Http::MessageHead m_head;
    std::string m_body;
    std::string m_id;
    std::string m_token;
    Fault m_fault = Fault::None;
    std::unique_ptr<EndlessSource> m_endless; ///< Null unless this connection sends without end.
    milliseconds m_eventPause{0};
    bool m_isWorking = false;
    bool m_isStream = false;
    bool m_hasHead = false;
    bool m_isAnswered = false; ///< Whether the whole answer is written, though it may not have left yet.
    int m_nextEvent = 1;
};

SoakWorker::SoakWorker(EventLoop::Loop &loop, const std::string &ip, WorkerTerms terms, Ledger &ledger, Decisions::RandomSource &random)
    : m_loop(loop)
    , m_terms(std::move(terms))
    , m_ledger(ledger)
    , m_random(random)
    , m_listener(std::move(Http::TcpListener::create(loop, Http::Endpoint::parse(ip + ":0").value(), [this](int descriptor) {
        auto connection = std::make_unique<Connection>(*this, descriptor);
        Connection *raw = connection.get();
        m_connections.emplace(raw, std::move(connection));
    }).value()))
{
}

SoakWorker::~SoakWorker() = default;

std::string SoakWorker::address() const
{
    return m_listener->endpoint().toString();
}

std::string SoakWorker::id() const
{
    return m_terms.name + "-life-" + std::to_string(m_life);
}

std::uint64_t SoakWorker::version() const
{
    return m_version;
}

const WorkerTerms &SoakWorker::terms() const
{
    return m_terms;
}

void SoakWorker::crash()
{
    ++m_life;
    m_orders = 0;
    for (const auto &[raw, connection] : m_connections) {
        raw->breakOff();
    }
    m_connections.clear();
}

void SoakWorker::setCrashObserver(std::function<void()> observer)
{
    m_crashObserver = std::move(observer);
}

void SoakWorker::setFaultShare(double share)
{
    m_faultShare = share;
}

void SoakWorker::setWorkTime(milliseconds time)
{
    m_workTime = time;
}

void SoakWorker::setEndlessCalls(bool isEndless)
{
    m_hasEndlessCalls = isEndless;
}

void SoakWorker::setOddCalls(bool isOdd)
{
    m_hasOddCalls = isOdd;
}

std::string SoakWorker::callText(const json &answer)
{
    return (m_hasOddCalls ? oddEntry(answer, m_random) : answer).dump();
}

std::string SoakWorker::cacheEvents()
{
    return callText({{"bootEpoch", 1}, {"next", 1}, {"lost", false}, {"events", json::array()}});
}

std::string SoakWorker::report()
{
    return callText({{"models", {{{"name", "m"}, {"version", m_version}}}},
        {"busy", false},
        {"sequence", m_orders},
        {"queued", 0},
        {"running", m_connections.size()},
        {"kvUsed", 0},
        {"kvTotal", 1000}});
}

std::string SoakWorker::takeOrder(const std::string &body)
{
    const json order = json::parse(body);
    m_ledger.noteOrder(m_terms.name, {order.at("holder").get<std::string>(), order.at("fencingToken").get<std::uint64_t>(), m_loop.now()});
    if (order.at("expectedRev").get<std::uint64_t>() != m_orders) {
        return "409 Conflict";
    }
    ++m_orders;
    m_version = order.at("version").get<std::uint64_t>();
    return "202 Accepted";
}

} // namespace Verbena::Soak
