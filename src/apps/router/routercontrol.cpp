#include "routercontrol.h"

#include <control/tableclaimservice.h>
#include <core/randomseed.h>
#include <eventloop/loop.h>

#include <algorithm>

namespace Verbena::Router {

namespace {

// Number of connections that a router without traffic keeps open to receive settings.
constexpr std::size_t minimumPeers = 3;
constexpr std::chrono::seconds peerCheckInterval{2};

std::string peerName(Decisions::BackendServerId id)
{
    return std::to_string(static_cast<std::uint64_t>(id));
}

Decisions::BackendServer backendServer(const std::string &name, const std::string &endpoint)
{
    Decisions::BackendServer server;
    server.id = Decisions::backendServerId(name);
    server.name = name;
    server.endpoint = endpoint;
    return server;
}

} // namespace

Core::Result<std::unique_ptr<RouterControl>> RouterControl::create(EventLoop::Loop &loop, const RouterSettings &settings)
{
    VERBENA_TRY(platform, Store::HttpPlatform::create(loop, settings.platformUrl));
    const std::uint64_t seed = Core::randomSeed();
    std::unique_ptr<RouterControl> control(new RouterControl(loop, settings, std::move(platform), seed));
    SettingsTree::SettingsTaskOptions options;
    options.seed = seed;
    VERBENA_TRY(task, SettingsTree::SettingsTask::create(loop, options, control->m_table, control->m_platform.get(), *control));
    control->m_settings = std::move(task);
    control->m_claims = std::make_shared<Control::TableClaimService>(control->m_table, loop, Decisions::ClaimOptions(), settings.name, seed + 1);
    return control;
}

RouterControl::RouterControl(EventLoop::Loop &loop, const RouterSettings &settings, std::unique_ptr<Store::HttpPlatform> platform, std::uint64_t seed)
    : m_loop(loop)
    , m_bootstrapPeers(settings.settingsPeers)
    , m_platform(std::move(platform))
    , m_table(*m_platform, loop, {}, seed)
    , m_random(seed)
    , m_peerTimer(loop, [this] { connectToPeers(); })
{
}

RouterServices RouterControl::services() const
{
    return {m_settings, m_claims};
}

void RouterControl::attach(RouterTask &task)
{
    m_task = &task;
    task.setPeerListener(this);
    Control::HostListTaskOptions options;
    options.seed = m_random.next();
    m_hosts = std::make_unique<Control::HostListTask>(*m_platform, m_loop, *this, options);
    m_hosts->setChangedCallback([this] { applyHostList(); });
    connectToPeers();
}

const std::vector<std::string> &RouterControl::peers() const
{
    return m_peers;
}

Core::Result<void> RouterControl::sendToPeer(const std::string &peer, const verbena::wire::Envelope &message)
{
    Core::Result<void> sent = m_task->sendToPeer(Decisions::BackendServerId(std::stoull(peer)), message);
    // A connection that is closed as idle is not reported with peerLost(), so the peer is removed here.
    if (!sent && sent.error().code == Core::ErrorCode::NotFound) {
        std::erase(m_peers, std::string(peer));
    }
    return sent;
}

void RouterControl::peerReady(Decisions::BackendServerId id)
{
    const std::string peer = peerName(id);
    if (std::find(m_peers.begin(), m_peers.end(), peer) == m_peers.end()) {
        m_peers.push_back(peer);
    }
    m_settings->notePeerJoined(peer);
}

void RouterControl::peerLost(Decisions::BackendServerId id)
{
    std::erase(m_peers, peerName(id));
}

void RouterControl::receiveFromPeer(Decisions::BackendServerId id, const verbena::wire::Envelope &message)
{
    if (SettingsTree::SettingsTask::isSettingsMessage(message)) {
        m_settings->receiveFromPeer(peerName(id), message);
    } else if (m_hosts && Control::HostListTask::isHostMessage(message)) {
        m_hosts->receiveFromPeer(message);
    }
}

std::string RouterControl::settingsJson() const
{
    return m_settings->status().toJson();
}

void RouterControl::applyHostList()
{
    std::set<std::string> leaving;
    for (const Store::HostEntry &host : m_hosts->hosts()) {
        if (host.isLeaving) {
            leaving.insert(host.name);
        }
    }
    m_task->setLeavingHosts(std::move(leaving));
}

void RouterControl::connectToPeers()
{
    m_hosts->setProcessCount(m_settings->current()->backendServers.size());
    m_peerTimer.startAt(m_loop.now() + peerCheckInterval);
    if (m_peers.size() >= minimumPeers) {
        return;
    }
    for (const SettingsPeer &peer : m_bootstrapPeers) {
        m_task->openPeer(backendServer(peer.name, peer.endpoint), peer.agentPublicKey);
    }
    const auto settings = m_settings->current();
    for (std::size_t i = 0; i < minimumPeers && !settings->backendServers.empty(); ++i) {
        const auto steps = static_cast<std::ptrdiff_t>(m_random.next() % settings->backendServers.size());
        const auto &[name, server] = *std::next(settings->backendServers.begin(), steps);
        m_task->openPeer(backendServer(name, server.endpoint), server.agentPublicKey);
    }
}

} // namespace Verbena::Router
