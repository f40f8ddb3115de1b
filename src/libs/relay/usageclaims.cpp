#include "usageclaims.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>
#include <vector>

namespace Verbena::Relay {

using Decisions::UsageClaim;
using Decisions::UsageOwnerChoice;
using Decisions::UsageVerdict;
using std::chrono::milliseconds;

namespace {

// A few times the way there and back; a datagram that is lost costs a request no more.
constexpr milliseconds resendAfter{40};

// From then on the request is decided here. A small part of any latency target.
constexpr milliseconds answerTime{100};

// How often open questions are looked at.
constexpr milliseconds lookPeriod{20};

// A look that comes later than this says that this process stood still: answers may wait unread.
constexpr milliseconds mostLate{20};

// Questions that are open at once; more are decided here.
constexpr std::size_t mostQuestions = 4096;

} // namespace

Core::Result<std::unique_ptr<UsageClaims>> UsageClaims::create(EventLoop::Loop &loop, const Http::Endpoint &address, double slack, RelayTask &relay)
{
    std::unique_ptr<UsageClaims> claims(new UsageClaims(loop, address, slack, relay));
    auto socket = Wire::DatagramSocket::bind(
        loop, address.address, [raw = claims.get()](const sockaddr_in &, const verbena::wire::Envelope &message) { raw->take(message); });
    if (!socket) {
        return socket.error();
    }
    claims->m_socket = std::move(socket.value());
    relay.setUsageControl(claims.get());
    return claims;
}

UsageClaims::UsageClaims(EventLoop::Loop &loop, const Http::Endpoint &address, double slack, RelayTask &relay)
    : m_loop(loop)
    , m_address(address)
    , m_relay(relay)
    , m_keepers(loop.now())
    , m_share(slack, loop.now())
    , m_timer(loop, [this] { look(); })
{
}

UsageClaims::~UsageClaims()
{
    m_relay.setUsageControl(nullptr);
}

void UsageClaims::followAgents()
{
    const Decisions::ServerRegister &servers = m_relay.fleet().servers();
    if (m_followedRevision == servers.revision()) {
        return;
    }
    m_followedRevision = servers.revision();
    std::vector<std::string> agents;
    for (const auto &[id, server] : servers.servers()) {
        if (!server.weights.empty() && !server.isLeaving) {
            agents.push_back(server.address);
        }
    }
    m_keepers.setAgents(std::move(agents));
}

std::uint64_t UsageClaims::claim(const UsageClaim &claim, Callback done)
{
    followAgents();
    m_share.setRouterCount(m_relay.knownRouters());
    const Core::TimePoint now = m_loop.now();
    const std::optional<UsageOwnerChoice> keeper = m_keepers.owner(claim.organisation, now);
    if (!keeper.has_value() || m_questions.size() >= mostQuestions) {
        settleFromShare(claim, done);
        return 0;
    }
    const std::uint64_t number = ++m_lastNumber;
    const bool isSilent = m_silentSince.contains(keeper->address);
    // A keeper that is silent is still asked: so this router learns that it is back.
    m_questions.emplace(number, Question{claim, keeper->address, isSilent ? Callback() : done, now + resendAfter, now + answerTime});
    send(number, claim, *keeper);
    if (m_lookTime <= now) {
        m_lookTime = now + lookPeriod;
        m_timer.startAt(m_lookTime);
    }
    if (isSilent) {
        settleFromShare(claim, done);
        return 0;
    }
    return number;
}

void UsageClaims::withdraw(std::uint64_t number)
{
    const auto question = m_questions.find(number);
    if (question != m_questions.end()) {
        question->second.done = nullptr;
    }
}

void UsageClaims::giveBack(const UsageClaim &claim)
{
    const std::optional<UsageOwnerChoice> keeper = m_keepers.owner(claim.organisation, m_loop.now());
    if (!keeper.has_value() || m_silentSince.contains(keeper->address)) {
        m_share.refund(claim);
        return;
    }
    UsageClaim back = claim;
    back.cost = -claim.cost;
    send(0, back, *keeper);
}

void UsageClaims::send(std::uint64_t number, const UsageClaim &claim, const UsageOwnerChoice &keeper)
{
    auto agent = Http::Endpoint::parse(keeper.address);
    if (!agent) {
        return; // The register takes no entry without an address.
    }
    agent.value().address.sin_port = m_address.address.sin_port;
    verbena::wire::Envelope message;
    verbena::wire::UsageClaim &asked = *message.mutable_usage_claim();
    asked.set_id(number);
    asked.set_organisation(claim.organisation);
    asked.set_cap_version(claim.capVersion);
    asked.set_per_second(claim.cap.perSecond);
    asked.set_burst(claim.cap.burst);
    asked.set_cost(claim.cost);
    asked.set_kept_for_us(static_cast<std::uint64_t>(keeper.ownedFor.count()));
    asked.set_routers(m_relay.knownRouters());
    m_socket->send(agent.value().address, message);
}

void UsageClaims::take(const verbena::wire::Envelope &message)
{
    const auto found = message.has_usage_verdict() ? m_questions.find(message.usage_verdict().id()) : m_questions.end();
    if (found == m_questions.end()) {
        return; // Answered by the other of two sendings, or given up long ago.
    }
    const Question question = std::move(found->second);
    m_questions.erase(found);
    noteAnswered(question);
    const verbena::wire::UsageVerdict &told = message.usage_verdict();
    const UsageVerdict verdict{told.granted(), std::chrono::ceil<milliseconds>(std::chrono::microseconds(told.come_back_us()))};
    if (question.done) {
        question.done(verdict);
    } else if (verdict.isGranted) {
        giveBack(question.claim);
    }
}

void UsageClaims::noteAnswered(const Question &question)
{
    m_share.handleOwnerAnswer(question.claim.organisation, m_loop.now());
    const auto silent = m_silentSince.find(question.keeper);
    if (silent == m_silentSince.end()) {
        return;
    }
    const auto span = std::chrono::duration_cast<milliseconds>(m_loop.now() - silent->second);
    Observe::log(usageKeeperFound, {{"keeper", question.keeper}, {"organisation", question.claim.organisation}, {"after_ms", std::to_string(span.count())}});
    m_silentSince.erase(silent);
}

void UsageClaims::noteSilent(const std::string &keeper)
{
    if (m_silentSince.try_emplace(keeper, m_loop.now()).second) {
        Observe::log(usageKeeperLost, {{"keeper", keeper}, {"routers", std::to_string(m_relay.knownRouters())}});
    }
}

void UsageClaims::look()
{
    const Core::TimePoint now = m_loop.now();
    const bool isLate = now > m_lookTime + mostLate;
    std::vector<std::uint64_t> overdue;
    for (auto &[number, question] : m_questions) {
        if (now >= question.deadline && !isLate) {
            overdue.push_back(number);
        } else if (now >= question.resendTime && !question.isResent) {
            question.isResent = true;
            if (const auto keeper = m_keepers.owner(question.claim.organisation, now); keeper.has_value() && keeper->address == question.keeper) {
                send(number, question.claim, *keeper);
            }
        }
    }
    for (const std::uint64_t number : overdue) {
        giveUp(number);
    }
    if (!m_questions.empty()) {
        m_lookTime = now + lookPeriod;
        m_timer.startAt(m_lookTime);
    }
}

void UsageClaims::giveUp(std::uint64_t number)
{
    const auto found = m_questions.find(number);
    if (found == m_questions.end()) {
        return;
    }
    const Question question = std::move(found->second);
    m_questions.erase(found);
    noteSilent(question.keeper);
    if (question.done) {
        settleFromShare(question.claim, question.done);
    }
}

void UsageClaims::settleFromShare(const UsageClaim &claim, const Callback &done)
{
    m_relay.metrics().count("usage_from_share_total");
    done(m_share.tryConsume(claim, m_loop.now()));
}

} // namespace Verbena::Relay
