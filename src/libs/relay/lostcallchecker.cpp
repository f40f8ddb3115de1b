#include "lostcallchecker.h"

#include <utility>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Many times the round trip to any backend server; a request that can be sent again waits at most this long for the check.
constexpr milliseconds connectTimeout{50};

// How long an ended server is remembered, and how long the register is checked: its entries expire some seconds after a server has ended.
constexpr milliseconds retentionTime{6000};

} // namespace

LostCallChecker::LostCallChecker(EventLoop::Loop &loop, const Decisions::ServerRegister &servers, Recorder recorder)
    : m_loop(loop)
    , m_servers(servers)
    , m_recorder(std::move(recorder))
{
}

std::string LostCallChecker::incarnationKey(const LostCall &call)
{
    return call.serverId + '.' + std::to_string(call.incarnation);
}

// A server that is leaving, or whose entry was removed before, may end without a crash.
bool LostCallChecker::isStaying(const LostCall &call) const
{
    const auto &servers = m_servers.servers();
    const auto server = servers.find(call.serverId);
    return server != servers.end() && !server->second.isLeaving;
}

// Returns whether, by the register, the incarnation of the call's server has ended.
bool LostCallChecker::hasEnded(const LostCall &call) const
{
    const auto &servers = m_servers.servers();
    const auto server = servers.find(call.serverId);
    return server == servers.end() || (call.incarnation != 0 && server->second.incarnation != call.incarnation);
}

// An entry that is gone proves nothing: a server that leaves may remove it and end its work.
bool LostCallChecker::hasRestarted(const LostCall &call) const
{
    const auto server = m_servers.servers().find(call.serverId);
    const bool isKnown = server != m_servers.servers().end() && server->second.incarnation != 0 && call.incarnation != 0;
    return isKnown && server->second.incarnation != call.incarnation;
}

bool LostCallChecker::check(const LostCall &call, std::uint64_t number, CrashControl::CheckCallback done)
{
    const std::string key = incarnationKey(call);
    if (m_endedIncarnations.contains(key)) {
        m_recorder(call, "seen before");
        done(call.incarnation != 0 ? ServerEnd::Proved : ServerEnd::Unknown);
        return false;
    }
    const auto endpoint = Http::Endpoint::parse(call.address);
    if (!isStaying(call) || !endpoint) {
        done(call.hasServerEnded || hasRestarted(call) ? ServerEnd::Proved : ServerEnd::Unknown);
        return false;
    }
    if (call.hasServerEnded) {
        m_endedIncarnations[key] = m_loop.now() + retentionTime;
        m_recorder(call, "connection refused");
        done(ServerEnd::Proved);
        return false;
    }
    ServerCheck &serverCheck = m_checks[key];
    serverCheck.deadline = m_loop.now() + retentionTime;
    serverCheck.pendingCalls.push_back({call, number, std::move(done)});
    if (serverCheck.connectCheck == nullptr) {
        serverCheck.connectCheck = std::make_unique<ConnectCheck>(
            m_loop, endpoint.value(), m_loop.now() + connectTimeout, [this, key](ConnectCheck::Finding finding) { handleFinding(key, finding); });
    }
    return true;
}

void LostCallChecker::handleFinding(const std::string &key, ConnectCheck::Finding finding)
{
    ServerCheck &serverCheck = m_checks[key];
    const std::unique_ptr<ConnectCheck> ended = std::move(serverCheck.connectCheck);
    std::vector<CrashControl::CheckCallback> callbacks;
    for (PendingCall &pending : std::exchange(serverCheck.pendingCalls, {})) {
        if (finding == ConnectCheck::Finding::Refused) {
            m_recorder(pending.call, "connection refused");
        } else {
            serverCheck.unresolved.push_back(pending.call);
        }
        if (pending.done) {
            callbacks.push_back(std::move(pending.done));
        }
    }
    if (finding == ConnectCheck::Finding::Refused) {
        m_endedIncarnations[key] = m_loop.now() + retentionTime;
        m_checks.erase(key);
    }
    const ServerEnd end = finding == ConnectCheck::Finding::Refused ? ServerEnd::Proved : ServerEnd::Unknown;
    for (const CrashControl::CheckCallback &done : callbacks) {
        done(end);
    }
}

void LostCallChecker::withdraw(std::uint64_t number)
{
    for (auto &[key, serverCheck] : m_checks) {
        for (PendingCall &pending : serverCheck.pendingCalls) {
            if (pending.number == number) {
                pending.done = nullptr;
            }
        }
    }
}

// A router that was suspended or cut off may detect a loss only after the server has restarted. Then a connection succeeds, but the register has another
// incarnation of the server.
void LostCallChecker::checkRegister(Core::TimePoint now)
{
    for (auto &[key, serverCheck] : m_checks) {
        if (!serverCheck.unresolved.empty() && hasEnded(serverCheck.unresolved.front())) {
            for (const LostCall &call : std::exchange(serverCheck.unresolved, {})) {
                m_recorder(call, "register");
            }
        }
    }
    std::erase_if(m_checks, [now](const auto &entry) { return entry.second.connectCheck == nullptr && now >= entry.second.deadline; });
    std::erase_if(m_endedIncarnations, [now](const auto &ended) { return now >= ended.second; });
}

} // namespace Verbena::Relay
