#include "streamoriginexchange.h"

#include "relayevents.h"
#include "streamorigincodec.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>
#include <observe/fieldvalue.h>

#include <algorithm>

namespace Verbena::Relay {

using Decisions::OriginInquiry;
using Decisions::ReplicaAgent;
using Decisions::SoleSoftware;
using Decisions::StreamOrigin;
using std::chrono::milliseconds;

namespace {

// Interval at which running streams are checked, so that they are told soon after another software version appears.
constexpr milliseconds tellInterval{250};

// Interval at which a running stream is told again: replicas may be replaced while it runs.
constexpr milliseconds repeatInterval{2000};

// Interval at which agents that have fallen silent are replaced as replicas.
constexpr milliseconds agentsUpdateInterval{500};

// Time after which a query is sent a second time, since datagrams may be lost: many times the round trip.
constexpr milliseconds resendDelay{25};

// Time after which missing answers are not awaited any more; the caller waits meanwhile.
constexpr milliseconds answerTimeout{80};

// Several times the response time of a slow store.
constexpr milliseconds registerTimeout{700};

constexpr milliseconds checkInterval{10};

// More inquiries at a time than a router that resumed all streams of several others would have.
constexpr std::size_t maximumInquiries = 4096;

} // namespace

Core::Result<std::unique_ptr<StreamOriginExchange>> StreamOriginExchange::create(EventLoop::Loop &loop,
    const Http::Endpoint &address,
    RelayTask &relay,
    Store::RowSource &source,
    Store::RowStore &store,
    std::uint64_t seed,
    RegisterCopy &registerCopy)
{
    auto replica = StreamOriginReplica::create(loop, address.address);
    if (!replica) {
        return replica.error();
    }
    std::unique_ptr<StreamOriginExchange> exchange(new StreamOriginExchange(loop, address, relay, source, store, seed, registerCopy));
    exchange->m_ownReplica = std::move(replica.value());
    exchange->m_ownReplica->setAnswerReceiver(
        [raw = exchange.get()](const std::string &from, const verbena::wire::StreamOriginAnswer &answer) { raw->handleAnswer(from, answer); });
    relay.setStreamOriginControl(exchange.get());
    return exchange;
}

StreamOriginExchange::StreamOriginExchange(EventLoop::Loop &loop,
    const Http::Endpoint &address,
    RelayTask &relay,
    Store::RowSource &source,
    Store::RowStore &store,
    std::uint64_t seed,
    RegisterCopy &registerCopy)
    : m_loop(loop)
    , m_address(address)
    , m_relay(relay)
    , m_registerCopy(registerCopy)
    , m_softwareRows(loop, source, store, relay, m_software, seed)
    , m_numbers(seed)
    , m_tellTimer(loop, [this] { tellRunning(); })
    , m_inquiryTimer(loop, [this] { checkInquiries(); })
{
    m_tellTimer.startAt(loop.now());
}

StreamOriginExchange::~StreamOriginExchange()
{
    m_relay.setStreamOriginControl(nullptr);
}

void StreamOriginExchange::updateSoftware()
{
    m_software.update(m_relay.fleet().servers(), m_loop.now());
    if (m_registerCopy.registerAge().has_value()) {
        m_softwareRows.update();
    }
}

void StreamOriginExchange::updateReplicas()
{
    m_replicas.setRouters(m_relay.routerAddresses());
    const bool hadEngines = !m_engines.empty();
    if (m_enginesRevision != m_relay.fleet().servers().revision()) {
        updateEngines();
    }
    if (!hadEngines || m_loop.now() >= m_agentsUpdateTime) {
        m_agentsUpdateTime = m_loop.now() + agentsUpdateInterval;
        updateAgents();
    }
}

void StreamOriginExchange::updateEngines()
{
    m_enginesRevision = m_relay.fleet().servers().revision();
    m_engines.clear();
    for (const auto &[id, server] : m_relay.fleet().servers().servers()) {
        const auto endpoint = Http::Endpoint::parse(server.address);
        if (!server.weights.empty() && endpoint) {
            m_engines.push_back({server.address, {endpoint.value().ipAddress(), server.failureDomain}});
        }
    }
}

// Some engines have no agent. A router that has just started has heard of none and takes all engines for candidates.
void StreamOriginExchange::updateAgents()
{
    std::vector<ReplicaAgent> all;
    std::vector<ReplicaAgent> present;
    for (const RegisteredEngine &engine : m_engines) {
        all.push_back(engine.agent);
        if (m_relay.fleet().hasAgent(engine.address, m_loop.now())) {
            present.push_back(engine.agent);
        }
    }
    std::vector<ReplicaAgent> &agents = present.empty() ? all : present;
    std::sort(agents.begin(), agents.end());
    agents.erase(std::unique(agents.begin(), agents.end()), agents.end());
    m_replicas.setAgents(std::move(agents));
}

// By a copy of the register that is old, a stream counts as one that has to be told.
std::optional<SoleSoftware> StreamOriginExchange::soleSoftware(const std::string &service) const
{
    const std::optional<milliseconds> age = m_registerCopy.registerAge();
    if (!age.has_value() || *age > m_relay.configurationTime()) {
        return std::nullopt;
    }
    return m_software.sole(service, m_loop.now());
}

bool StreamOriginExchange::isSettled(const RunningStream &stream) const
{
    const std::optional<SoleSoftware> sole = soleSoftware(stream.origin.service);
    return sole.has_value() && sole->version == stream.origin.softwareVersion && sole->duration >= stream.longestStream;
}

std::uint64_t StreamOriginExchange::recordBegun(const RunningStream &stream)
{
    updateSoftware();
    const std::uint64_t number = m_numbers.next();
    ToldStream &told = m_running.emplace(number, ToldStream{stream}).first->second;
    if (!isSettled(stream)) {
        updateReplicas();
        tell(told);
    }
    return number;
}

void StreamOriginExchange::recordEnded(std::uint64_t number, bool isWhole)
{
    const auto running = m_running.find(number);
    if (running == m_running.end()) {
        return;
    }
    if (!isWhole && !isSettled(running->second.stream)) {
        tell(running->second);
    }
    m_running.erase(running);
}

// The first repetition follows soon, since datagrams may be lost.
void StreamOriginExchange::tell(ToldStream &told)
{
    told.nextTell = m_loop.now() + (told.tells == 0 ? tellInterval : repeatInterval);
    ++told.tells;
    const RunningStream &stream = told.stream;
    verbena::wire::Envelope message;
    *message.mutable_stream_origins()->add_origins() = encodeOrigin(stream.key, stream.origin, stream.longestStream);
    for (const std::string &replica : m_replicas.replicas(stream.key)) {
        sendTo(replica, message);
    }
    m_relay.metrics().count("stream_origins_told_total");
}

void StreamOriginExchange::tellRunning()
{
    updateSoftware();
    updateReplicas();
    const Core::TimePoint now = m_loop.now();
    for (auto &[number, told] : m_running) {
        if (now >= told.nextTell && !isSettled(told.stream)) {
            tell(told);
        }
    }
    m_tellTimer.startAt(now + tellInterval);
}

void StreamOriginExchange::sendTo(const std::string &replica, const verbena::wire::Envelope &message)
{
    if (replica == m_address.ipAddress()) {
        m_ownReplica->send(m_address.address, message);
    } else if (const auto endpoint = m_address.atPeer(replica)) {
        m_ownReplica->send(endpoint->address, message);
    }
}

void StreamOriginExchange::sendQuery(std::uint64_t number, const OriginRequest &request, const std::string &replica)
{
    verbena::wire::Envelope message;
    verbena::wire::StreamOriginQuery &query = *message.mutable_stream_origin_query();
    query.set_id(number);
    query.set_organisation(request.key.organisation);
    query.set_attempt(request.key.attemptId);
    sendTo(replica, message);
}

// Nobody can be asked for a stream that the caller does not name.
std::uint64_t StreamOriginExchange::find(const OriginRequest &request, Callback done)
{
    updateSoftware();
    updateReplicas();
    const Core::TimePoint now = m_loop.now();
    if (m_inquiries.size() >= maximumInquiries) {
        report(request, std::nullopt, "too many inquiries", 0);
        done(std::nullopt);
        return 0;
    }
    const std::vector<std::string> replicas = request.key.attemptId.empty() ? std::vector<std::string>() : m_replicas.queriedReplicas(request.key);
    const std::uint64_t number = m_numbers.next();
    m_inquiries.emplace(number,
        PendingInquiry{request,
            OriginInquiry(request.key, request.service, request.longestStream, replicas),
            std::move(done),
            Core::BootClock::now(),
            now + resendDelay,
            now + answerTimeout,
            now + registerTimeout});
    for (const std::string &replica : replicas) {
        sendQuery(number, request, replica);
    }
    (void)m_registerCopy.renewRegister();
    if (!m_inquiryTimer.isActive()) {
        m_inquiryTimer.startAt(now + checkInterval);
    }
    return number;
}

void StreamOriginExchange::withdraw(std::uint64_t number)
{
    m_inquiries.erase(number);
}

void StreamOriginExchange::handleAnswer(const std::string &replica, const verbena::wire::StreamOriginAnswer &answer)
{
    const auto pending = m_inquiries.find(answer.id());
    if (pending == m_inquiries.end()) {
        return;
    }
    pending->second.inquiry.handleAnswer(replica, decodeAnswer(answer));
    if (pending->second.inquiry.isDecided()) {
        decide(answer.id(), "answered");
    }
}

// A version that was registered later than \a time cannot have begun a stream that its caller resumed before.
bool StreamOriginExchange::isRegisterVerifiedSince(Core::BootTime time) const
{
    const std::optional<milliseconds> age = m_registerCopy.registerAge();
    return age.has_value() && Core::BootClock::now() - *age >= time;
}

void StreamOriginExchange::checkRegister()
{
    updateSoftware();
    for (auto &[number, pending] : m_inquiries) {
        if (!pending.inquiry.isRegisterKnown() && isRegisterVerifiedSince(pending.begin)) {
            pending.inquiry.handleRegister(m_software.sole(pending.request.service, m_loop.now()));
        }
    }
}

void StreamOriginExchange::resendQueries(std::uint64_t number, PendingInquiry &pending)
{
    pending.isResent = true;
    for (const std::string &replica : pending.inquiry.silentReplicas()) {
        sendQuery(number, pending.request, replica);
    }
}

void StreamOriginExchange::checkInquiries()
{
    checkRegister();
    const Core::TimePoint now = m_loop.now();
    const bool isRegisterAwaited
        = std::any_of(m_inquiries.begin(), m_inquiries.end(), [](const auto &entry) { return !entry.second.inquiry.isRegisterKnown(); });
    const bool isRegisterExpected = isRegisterAwaited && m_registerCopy.renewRegister();
    std::vector<std::uint64_t> decided;
    std::vector<std::uint64_t> overdue;
    for (auto &[number, pending] : m_inquiries) {
        const bool awaitsRegister = isRegisterExpected && !pending.inquiry.isRegisterKnown();
        if (pending.inquiry.isDecided()) {
            decided.push_back(number);
        } else if (now >= (awaitsRegister ? pending.registerDeadline : pending.answerDeadline)) {
            overdue.push_back(number);
        } else if (now >= pending.resendTime && !pending.isResent) {
            resendQueries(number, pending);
        }
    }
    for (const std::uint64_t number : decided) {
        decide(number, "answered");
    }
    for (const std::uint64_t number : overdue) {
        decide(number, "timeout");
    }
    if (!m_inquiries.empty()) {
        m_inquiryTimer.startAt(now + checkInterval);
    }
}

void StreamOriginExchange::decide(std::uint64_t number, const char *outcome)
{
    const auto found = m_inquiries.find(number);
    if (found == m_inquiries.end()) {
        return;
    }
    const PendingInquiry pending = std::move(found->second);
    m_inquiries.erase(found);
    const std::optional<StreamOrigin> origin = pending.inquiry.result();
    report(pending.request, origin, outcome, pending.inquiry.silentReplicas().size());
    pending.done(origin);
}

void StreamOriginExchange::report(const OriginRequest &request, const std::optional<StreamOrigin> &origin, const char *outcome, std::size_t silentReplicas)
{
    m_relay.metrics().count(origin.has_value() ? "stream_origins_found_total" : "stream_origins_unknown_total");
    Observe::log(streamResumed,
        {{"resumes", request.key.attemptId},
            {"organisation", request.key.organisation},
            {"service", origin.has_value() ? origin->service : request.service},
            {"software", origin.has_value() ? origin->softwareVersion : ""},
            {"known", Observe::yesOrNo(origin.has_value())},
            {"outcome", outcome},
            {"silent_replicas", std::to_string(silentReplicas)}});
}

} // namespace Verbena::Relay
