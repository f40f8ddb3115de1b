#include "usageclient.h"

#include "relayevents.h"

#include <core/boundedspan.h>
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

// A few round trips; a lost datagram delays a request by no more than this.
constexpr milliseconds resendDelay{40};

// After this time the claim is decided from this router's share. A small part of any latency target.
constexpr milliseconds answerTimeout{100};

// Interval at which pending claims are checked.
constexpr milliseconds checkInterval{20};

// A check that runs later than this shows that the process was stalled, so that answers may be waiting unread.
constexpr milliseconds maximumTimerDelay{20};

// Further claims are decided from this router's share.
constexpr std::size_t maximumPendingClaims = 4096;

} // namespace

Core::Result<std::unique_ptr<UsageClient>> UsageClient::create(
    EventLoop::Loop &loop, const Http::Endpoint &address, double slack, RelayTask &relay, std::uint64_t seed)
{
    std::unique_ptr<UsageClient> client(new UsageClient(loop, address, slack, relay, seed));
    auto socket = Wire::DatagramSocket::bind(
        loop, address.address, [raw = client.get()](const sockaddr_in &, const verbena::wire::Envelope &message) { raw->handleMessage(message); });
    if (!socket) {
        return socket.error();
    }
    client->m_socket = std::move(socket.value());
    relay.setUsageControl(client.get());
    return client;
}

UsageClient::UsageClient(EventLoop::Loop &loop, const Http::Endpoint &address, double slack, RelayTask &relay, std::uint64_t seed)
    : m_loop(loop)
    , m_address(address)
    , m_relay(relay)
    , m_owners(loop.now())
    , m_share(slack, loop.now())
    , m_random(seed)
    , m_numbers(seed)
    , m_timer(loop, [this] { checkPendingClaims(); })
{
}

UsageClient::~UsageClient()
{
    m_relay.setUsageControl(nullptr);
}

void UsageClient::updateAgents()
{
    const Decisions::ServerRegister &servers = m_relay.fleet().servers();
    if (m_agentsRevision == servers.revision()) {
        return;
    }
    m_agentsRevision = servers.revision();
    std::vector<std::string> agents;
    for (const auto &[id, server] : servers.servers()) {
        if (!server.weights.empty() && !server.isLeaving) {
            agents.push_back(server.address);
        }
    }
    m_owners.setAgents(std::move(agents));
}

std::uint64_t UsageClient::claim(const UsageClaim &claim, Callback done)
{
    updateAgents();
    m_share.setRouterCount(m_relay.knownRouterCount());
    const Core::TimePoint now = m_loop.now();
    const std::optional<UsageOwnerChoice> owner = m_owners.owner(claim.organisation, now);
    if (!owner.has_value() || m_pendingClaims.size() >= maximumPendingClaims) {
        decideFromShare(claim, done);
        return 0;
    }
    const std::uint64_t number = m_numbers.next();
    const bool isSilent = m_silentSince.contains(owner->address);
    // A silent owner is still asked so that this router notices when it answers again.
    m_pendingClaims.emplace(number, PendingClaim{claim, owner->address, isSilent ? Callback() : done, now + resendDelay, now + answerTimeout});
    send(number, claim, *owner);
    if (m_nextCheckTime <= now) {
        m_nextCheckTime = now + checkInterval;
        m_timer.startAt(m_nextCheckTime);
    }
    if (isSilent) {
        decideFromShare(claim, done);
        return 0;
    }
    return number;
}

void UsageClient::withdraw(std::uint64_t number)
{
    const auto pending = m_pendingClaims.find(number);
    if (pending != m_pendingClaims.end()) {
        pending->second.done = nullptr;
    }
}

void UsageClient::refund(const UsageClaim &claim)
{
    const std::optional<UsageOwnerChoice> owner = m_owners.owner(claim.organisation, m_loop.now());
    if (!owner.has_value() || m_silentSince.contains(owner->address)) {
        m_share.refund(claim);
        return;
    }
    UsageClaim refunded = claim;
    refunded.cost = -claim.cost;
    send(0, refunded, *owner);
}

void UsageClient::send(std::uint64_t number, const UsageClaim &claim, const UsageOwnerChoice &owner)
{
    auto agent = Http::Endpoint::parse(owner.address);
    if (!agent) {
        return; // The register accepts no entry without a valid address.
    }
    agent.value().address.sin_port = m_address.address.sin_port;
    verbena::wire::Envelope message;
    verbena::wire::UsageClaim &request = *message.mutable_usage_claim();
    request.set_id(number);
    request.set_organisation(claim.organisation);
    request.set_cap_version(claim.capVersion);
    request.set_per_second(claim.cap.perSecond);
    request.set_burst(claim.cap.burst);
    request.set_cost(claim.cost);
    request.set_kept_for_us(static_cast<std::uint64_t>(owner.ownedFor.count()));
    request.set_routers(m_relay.knownRouterCount());
    request.set_priority(claim.priority.has_value() ? *claim.priority + 1 : 0);
    m_socket->send(agent.value().address, message);
}

void UsageClient::handleMessage(const verbena::wire::Envelope &message)
{
    const auto found = message.has_usage_verdict() ? m_pendingClaims.find(message.usage_verdict().id()) : m_pendingClaims.end();
    if (found == m_pendingClaims.end()) {
        return; // Already answered, as the claim was sent twice, or timed out before.
    }
    const PendingClaim pending = std::move(found->second);
    m_pendingClaims.erase(found);
    recordOwnerAnswer(pending);
    const verbena::wire::UsageVerdict &answer = message.usage_verdict();
    const UsageVerdict verdict{answer.granted(), std::chrono::ceil<milliseconds>(Core::boundedSpan<std::chrono::microseconds>(answer.come_back_us()))};
    if (pending.done) {
        pending.done(spread(verdict));
    } else if (verdict.isGranted) {
        refund(pending.claim);
    }
}

void UsageClient::recordOwnerAnswer(const PendingClaim &pending)
{
    m_share.handleOwnerAnswer(pending.claim.organisation, m_loop.now());
    const auto silent = m_silentSince.find(pending.owner);
    if (silent == m_silentSince.end()) {
        return;
    }
    const auto duration = std::chrono::duration_cast<milliseconds>(m_loop.now() - silent->second);
    Observe::log(usageKeeperFound, {{"keeper", pending.owner}, {"organisation", pending.claim.organisation}, {"after_ms", std::to_string(duration.count())}});
    m_silentSince.erase(silent);
}

void UsageClient::recordOwnerSilent(const std::string &owner)
{
    if (m_silentSince.try_emplace(owner, m_loop.now()).second) {
        Observe::log(usageKeeperLost, {{"keeper", owner}, {"routers", std::to_string(m_relay.knownRouterCount())}});
    }
}

void UsageClient::checkPendingClaims()
{
    const Core::TimePoint now = m_loop.now();
    const bool isLate = now > m_nextCheckTime + maximumTimerDelay;
    std::vector<std::uint64_t> overdue;
    for (auto &[number, pending] : m_pendingClaims) {
        if (now >= pending.deadline && !isLate) {
            overdue.push_back(number);
        } else if (now >= pending.resendTime && !pending.isResent) {
            pending.isResent = true;
            if (const auto owner = m_owners.owner(pending.claim.organisation, now); owner.has_value() && owner->address == pending.owner) {
                send(number, pending.claim, *owner);
            }
        }
    }
    for (const std::uint64_t number : overdue) {
        handleTimeout(number);
    }
    if (!m_pendingClaims.empty()) {
        m_nextCheckTime = now + checkInterval;
        m_timer.startAt(m_nextCheckTime);
    }
}

void UsageClient::handleTimeout(std::uint64_t number)
{
    const auto found = m_pendingClaims.find(number);
    if (found == m_pendingClaims.end()) {
        return;
    }
    const PendingClaim pending = std::move(found->second);
    m_pendingClaims.erase(found);
    recordOwnerSilent(pending.owner);
    if (pending.done) {
        decideFromShare(pending.claim, pending.done);
    }
}

void UsageClient::decideFromShare(const UsageClaim &claim, const Callback &done)
{
    m_relay.metrics().count("usage_from_share_total");
    done(spread(m_share.tryConsume(claim, m_loop.now())));
}

UsageVerdict UsageClient::spread(const UsageVerdict &verdict)
{
    if (verdict.isGranted) {
        return verdict;
    }
    return {false, Decisions::spreadRetry(verdict.retryAfter, m_random.uniform())};
}

} // namespace Verbena::Relay
