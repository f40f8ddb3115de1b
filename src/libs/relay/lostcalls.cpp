#include "lostcalls.h"

#include <utility>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Many times the way to any backend server; a request that could be sent again waits no longer for it.
constexpr milliseconds checkTime{50};

// For how long a server that ended is remembered, and the register may still tell that one did: its entries lapse seconds after it.
constexpr milliseconds endedTime{6000};

} // namespace

LostCalls::LostCalls(EventLoop::Loop &loop, const Decisions::ServerRegister &servers, Recorder recorder)
    : m_loop(loop)
    , m_servers(servers)
    , m_recorder(std::move(recorder))
{
}

std::string LostCalls::lifeOf(const LostCall &call)
{
    return call.serverId + '.' + std::to_string(call.incarnation);
}

// A server that was leaving, or whose entry had gone before, may end without a crash.
bool LostCalls::isStaying(const LostCall &call) const
{
    const auto &servers = m_servers.servers();
    const auto known = servers.find(call.serverId);
    return known != servers.end() && !known->second.isLeaving;
}

// Whether the register says that the life of the call's server is over.
bool LostCalls::hasEnded(const LostCall &call) const
{
    const auto &servers = m_servers.servers();
    const auto known = servers.find(call.serverId);
    return known == servers.end() || (call.incarnation != 0 && known->second.incarnation != call.incarnation);
}

bool LostCalls::note(const LostCall &call, std::uint64_t number, CrashControl::CheckCallback done)
{
    const std::string life = lifeOf(call);
    if (m_ended.contains(life)) {
        m_recorder(call, "seen before");
        done();
        return false;
    }
    const auto endpoint = Http::Endpoint::parse(call.address);
    if (!isStaying(call) || !endpoint) {
        done();
        return false;
    }
    Check &check = m_checks[life];
    check.deadline = m_loop.now() + endedTime;
    check.suspicions.push_back({call, number, std::move(done)});
    if (check.check == nullptr) {
        check.check = std::make_unique<ConnectCheck>(
            m_loop, endpoint.value(), m_loop.now() + checkTime, [this, life](ConnectCheck::Finding finding) { takeFinding(life, finding); });
    }
    return true;
}

void LostCalls::takeFinding(const std::string &life, ConnectCheck::Finding finding)
{
    Check &check = m_checks[life];
    const std::unique_ptr<ConnectCheck> ended = std::move(check.check);
    std::vector<CrashControl::CheckCallback> callbacks;
    for (Suspicion &suspicion : std::exchange(check.suspicions, {})) {
        if (finding == ConnectCheck::Finding::Refused) {
            m_recorder(suspicion.call, "connection refused");
        } else {
            check.doubtful.push_back(suspicion.call);
        }
        if (suspicion.done) {
            callbacks.push_back(std::move(suspicion.done));
        }
    }
    if (finding == ConnectCheck::Finding::Refused) {
        m_ended[life] = m_loop.now() + endedTime;
        m_checks.erase(life);
    }
    for (const CrashControl::CheckCallback &done : callbacks) {
        done();
    }
}

void LostCalls::withdraw(std::uint64_t number)
{
    for (auto &[life, check] : m_checks) {
        for (Suspicion &suspicion : check.suspicions) {
            if (suspicion.number == number) {
                suspicion.done = nullptr;
            }
        }
    }
}

// A router that slept, or was cut off, learns of a loss after its server is back; then the register tells that the server's life is another one.
void LostCalls::look(Core::TimePoint now)
{
    for (auto &[life, check] : m_checks) {
        if (!check.doubtful.empty() && hasEnded(check.doubtful.front())) {
            for (const LostCall &call : std::exchange(check.doubtful, {})) {
                m_recorder(call, "register");
            }
        }
    }
    std::erase_if(m_checks, [now](const auto &check) { return check.second.check == nullptr && now >= check.second.deadline; });
    std::erase_if(m_ended, [now](const auto &ended) { return now >= ended.second; });
}

} // namespace Verbena::Relay
