#include "agenttask.h"

#include "agentevents.h"
#include "engineadapter.h"
#include "serviceadapter.h"
#include "wireconversion.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>
#include <wire/curvekeys.h>

#include <algorithm>

namespace Verbena::Agent {

namespace {

constexpr std::chrono::seconds beatInterval{1};
constexpr std::chrono::minutes routerMemory{2};

// Time between giving up runs and the end of the process, for routers to be told.
constexpr std::chrono::milliseconds lastMessagesTime{100};

std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

std::vector<Decisions::FlowShare> sharesOf(const Settings::InForceSettings &settings)
{
    std::vector<Decisions::FlowShare> shares;
    for (const auto &[organisationName, organisation] : settings.organisations) {
        for (const auto &[teamName, team] : organisation->teams) {
            shares.push_back({organisationName, organisation->share, teamName, team.share});
        }
    }
    return shares;
}

} // namespace

Core::Result<std::unique_ptr<AgentTask>> AgentTask::create(EventLoop::Loop &loop, const AgentSettings &settings, Observe::Metrics &metrics)
{
    std::unique_ptr<AgentTask> task(new AgentTask(loop, settings, metrics));
    BOOST_OUTCOME_TRY(task->openBackend());
    BOOST_OUTCOME_TRY(task->openSocket());
    task->beat();
    return task;
}

AgentTask::AgentTask(EventLoop::Loop &loop, const AgentSettings &settings, Observe::Metrics &metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_incarnation(newIncarnation())
    , m_runs(loop, settings.runs, *this, metrics)
    , m_beatTimer(loop, [this] { beat(); })
    , m_finishTimer(loop, [this] { m_finished(); })
    , m_giveUpTimer(loop, [this] { giveUpRuns(); })
{
    m_runs.setIdleCallback([this] { checkFinished(); });
}

Core::Result<void> AgentTask::openSocket()
{
    Wire::SocketSecurity security;
    if (m_settings.security.isEnabled()) {
        VERBENA_TRY(keys, Wire::CurveKeys::fromSecretKeyFile(m_settings.security.secretKeyFile));
        security.ownPublicKey = keys.publicKey;
        security.ownSecretKey = keys.secretKey;
        VERBENA_TRY(allowed, Wire::readPublicKeys(m_settings.security.allowedKeysFile));
        VERBENA_TRY(authenticator, Wire::PeerAuthenticator::create(m_loop, m_context));
        m_authenticator = std::move(authenticator);
        m_authenticator->setAllowedKeys(allowed);
    }
    VERBENA_TRY(opened, Wire::MessageSocket::bind(m_loop, m_context, m_settings.endpoint, security, *this));
    m_socket = std::move(opened);
    return Core::success();
}

Core::Result<void> AgentTask::openBackend()
{
    const auto create = m_settings.kind == BackendKind::Engine ? &EngineAdapter::create : &ServiceAdapter::create;
    VERBENA_TRY(backend, create(m_loop, m_settings.backend, m_runs));
    m_runs.setBackend(std::move(backend));
    return Core::success();
}

std::string AgentTask::endpoint() const
{
    return m_socket->endpoint();
}

void AgentTask::setSettingsView(std::shared_ptr<Settings::SettingsView> view, std::function<void()> changed)
{
    m_view = std::move(view);
    m_settingsChanged = std::move(changed);
    m_view->setChangedCallback([this] { applySettings(); });
    applySettings();
}

void AgentTask::setPeerListener(PeerListener *listener)
{
    m_peerListener = listener;
}

void AgentTask::setReportCallback(std::function<void(const BackendReport &)> callback)
{
    m_runs.setReportCallback(std::move(callback));
}

void AgentTask::setListedAsLeaving(bool isLeaving)
{
    m_isListedAsLeaving = isLeaving;
    updateLeaving();
}

void AgentTask::leave(std::function<void()> finished)
{
    if (m_isEnding) {
        return;
    }
    m_isEnding = true;
    m_finished = std::move(finished);
    m_giveUpTimer.startAt(m_loop.now() + m_settings.leaveTimeout);
    updateLeaving();
    checkFinished();
}

void AgentTask::reloadKeys()
{
    if (!m_authenticator) {
        return;
    }
    const auto allowed = Wire::readPublicKeys(m_settings.security.allowedKeysFile);
    if (!allowed) {
        Observe::log(allowedKeysInvalid, allowed.error());
        return;
    }
    m_authenticator->setAllowedKeys(allowed.value());
    Observe::log(allowedKeysRead, {{"count", std::to_string(allowed.value().size())}});
}

const AgentSettings &AgentTask::settings() const
{
    return m_settings;
}

const RunManager &AgentTask::runs() const
{
    return m_runs;
}

BackendAdapter &AgentTask::backend()
{
    return m_runs.backend();
}

std::size_t AgentTask::routerCount() const
{
    return m_routers.size();
}

std::uint64_t AgentTask::refusedPeerCount() const
{
    return m_authenticator ? m_authenticator->refusedCount() : 0;
}

std::uint64_t AgentTask::incarnation() const
{
    return m_incarnation;
}

void AgentTask::receiveMessage(const std::string &peer, const verbena::wire::Envelope &message)
{
    const bool isNew = m_routers.noteHeard(peer, m_loop.now());
    if (isNew && m_peerListener != nullptr) {
        m_peerListener->peerJoined(peer);
    }
    if (message.has_dispatch()) {
        receiveDispatch(peer, message.dispatch());
    } else if (message.has_credit()) {
        m_runs.grantCredit(peer, {message.credit().request(), message.credit().attempt()}, message.credit().frames());
    } else if (message.has_cancel()) {
        m_runs.cancel(peer, {message.cancel().request(), message.cancel().attempt()});
    } else if (message.has_probe()) {
        answerProbe(peer, message.probe());
    } else if (message.has_hello()) {
        sendWelcome(peer);
    } else if (m_peerListener != nullptr) {
        m_peerListener->receiveFromPeer(peer, message);
    }
}

void AgentTask::receiveInvalidMessage(const std::string &)
{
    m_metrics.count("agent_invalid_messages_total");
    Observe::log(agentMessageInvalid, {{"step", "agent.receive"}});
}

void AgentTask::connectionChanged(Wire::ConnectionChange change, const std::string &)
{
    if (change == Wire::ConnectionChange::Lost) {
        // The connection's router is not named, but whoever has runs here and cannot be reached is found out by a heartbeat.
        m_beatTimer.startAt(m_loop.now());
    }
}

Core::Result<void> AgentTask::sendToRouter(const std::string &peer, const verbena::wire::Envelope &message)
{
    Core::Result<void> sent = m_socket->send(peer, message);
    if (!sent && sent.error().code == Core::ErrorCode::Unavailable) {
        m_routers.forget(peer);
    }
    return sent;
}

const std::vector<std::string> &AgentTask::peers() const
{
    return m_routers.all();
}

Core::Result<void> AgentTask::sendToPeer(const std::string &peer, const verbena::wire::Envelope &message)
{
    return sendToRouter(peer, message);
}

void AgentTask::receiveDispatch(const std::string &peer, const verbena::wire::Dispatch &dispatch)
{
    const std::uint64_t expected = dispatch.expected_incarnation();
    if (expected != 0 && expected != m_incarnation) {
        m_runs.refuse(peer, {dispatch.request(), dispatch.attempt()}, verbena::wire::REFUSAL_REASON_INCARNATION, {});
        return;
    }
    m_runs.dispatch(peer, dispatch);
}

void AgentTask::answerProbe(const std::string &peer, const verbena::wire::Probe &probe)
{
    const std::vector<Decisions::PrefixKey> keys = prefixKeysOf(probe.prefix_keys());
    verbena::wire::Envelope envelope;
    verbena::wire::ProbeReply &reply = *envelope.mutable_probe_reply();
    reply.set_id(probe.id());
    reply.set_warm_pieces(m_runs.warmPieces(keys));
    m_runs.fillLoad(keys, *reply.mutable_load());
    m_runs.sendToRouter(peer, envelope);
}

void AgentTask::sendWelcome(const std::string &peer)
{
    verbena::wire::Envelope envelope;
    verbena::wire::Welcome &welcome = *envelope.mutable_welcome();
    welcome.set_name(m_settings.name);
    welcome.set_incarnation(m_incarnation);
    m_runs.fillLoad({}, *welcome.mutable_load());
    for (const Decisions::ModelVersion &version : m_runs.servedModels()) {
        verbena::wire::ModelState &model = *welcome.add_models();
        model.set_model(version.model);
        model.set_adapter(version.adapter);
        model.set_weights_version(version.weightsVersion);
    }
    m_runs.sendToRouter(peer, envelope);
}

// Only routers that wait for something get a heartbeat: their number is bounded by the work at hand, not by the fleet.
void AgentTask::beat()
{
    for (const std::string &peer : m_runs.runs().peers()) {
        sendWelcome(peer);
    }
    m_routers.forgetSilent(m_loop.now() - routerMemory);
    m_beatTimer.startAt(m_loop.now() + beatInterval);
}

void AgentTask::applySettings()
{
    const std::shared_ptr<const Settings::InForceSettings> settings = m_view->current();
    m_runs.setShares(sharesOf(*settings));
    const auto own = settings->backendServers.find(m_settings.name);
    m_isDrained = own != settings->backendServers.end() && own->second.isDrained;
    updateLeaving();
    if (m_settingsChanged) {
        m_settingsChanged();
    }
}

void AgentTask::updateLeaving()
{
    const bool isLeaving = m_isDrained || m_isListedAsLeaving || m_isEnding;
    if (isLeaving == m_runs.gate().isLeaving()) {
        return;
    }
    m_runs.setLeaving(isLeaving);
    // A send that fails changes the list.
    const std::vector<std::string> peers = m_routers.all();
    for (const std::string &peer : peers) {
        sendWelcome(peer);
    }
}

// A router that reads nothing would keep what it was told here for ever, so the process ends without regard to it.
void AgentTask::giveUpRuns()
{
    m_finishTimer.startAt(m_loop.now() + std::max<std::chrono::microseconds>(m_settings.leaveGrace, lastMessagesTime));
    if (m_runs.runs().size() > 0) {
        Observe::log(runsGivenUp, {{"runs", std::to_string(m_runs.runs().size())}});
        m_runs.giveUpRuns();
    }
}

void AgentTask::checkFinished()
{
    if (m_isEnding && m_runs.isIdle() && !m_finishTimer.isActive()) {
        m_giveUpTimer.stop();
        m_finishTimer.startAt(m_loop.now() + m_settings.leaveGrace);
    }
}

} // namespace Verbena::Agent
