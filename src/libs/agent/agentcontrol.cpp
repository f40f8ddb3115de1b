#include "agentcontrol.h"

#include <core/randomseed.h>
#include <eventloop/loop.h>

#include <algorithm>

namespace Verbena::Agent {

Core::Result<std::unique_ptr<AgentControl>> AgentControl::create(EventLoop::Loop &loop, const std::string &platformUrl, AgentTask &task)
{
    VERBENA_TRY(platform, Store::HttpPlatform::create(loop, platformUrl));
    const std::uint64_t seed = Core::randomSeed();
    std::unique_ptr<AgentControl> control(new AgentControl(loop, task, std::move(platform), seed));
    SettingsTree::SettingsTaskOptions options;
    options.seed = seed;
    VERBENA_TRY(settings, SettingsTree::SettingsTask::create(loop, options, control->m_table, control->m_platform.get(), task));
    control->m_settings = std::move(settings);
    AgentControl *self = control.get();
    task.setSettingsView(control->m_settings, [self] { self->applySettings(); });
    task.setReportCallback([self](const BackendReport &report) { self->m_orders.noteReport(report); });
    Control::HostListTaskOptions hostOptions;
    hostOptions.seed = seed + 1;
    control->m_hosts = std::make_unique<Control::HostListTask>(*control->m_platform, loop, task, hostOptions);
    control->m_hosts->setChangedCallback([self] { self->applyHosts(); });
    task.setPeerListener(self);
    return control;
}

AgentControl::AgentControl(EventLoop::Loop &loop, AgentTask &task, std::unique_ptr<Store::HttpPlatform> platform, std::uint64_t seed)
    : m_task(task)
    , m_platform(std::move(platform))
    , m_table(*m_platform, loop, {}, seed)
    , m_orders(loop, m_table, task.backend(), task.settings().name, seed)
{
}

AgentControl::~AgentControl()
{
    m_task.setPeerListener(nullptr);
    m_task.setReportCallback({});
}

SettingsTree::SettingsStatus AgentControl::settingsStatus() const
{
    return m_settings->status();
}

const ModelOrderTask &AgentControl::orders() const
{
    return m_orders;
}

void AgentControl::applySettings()
{
    if (m_settings->isReady()) {
        const std::shared_ptr<const Settings::InForceSettings> settings = m_settings->current();
        m_orders.setSettings(*settings);
        if (m_hosts) {
            m_hosts->setProcessCount(settings->backendServers.size());
        }
    }
}

void AgentControl::peerJoined(const std::string &peer)
{
    m_settings->notePeerJoined(peer);
}

void AgentControl::receiveFromPeer(const std::string &peer, const verbena::wire::Envelope &message)
{
    if (SettingsTree::SettingsTask::isSettingsMessage(message)) {
        m_settings->receiveFromPeer(peer, message);
    } else if (Control::HostListTask::isHostMessage(message)) {
        m_hosts->receiveFromPeer(message);
    }
}

void AgentControl::applyHosts()
{
    const std::vector<Store::HostEntry> hosts = m_hosts->hosts();
    m_orders.setHosts(hosts);
    const std::string &name = m_task.settings().name;
    const auto own = std::find_if(hosts.begin(), hosts.end(), [&name](const Store::HostEntry &host) { return host.name == name; });
    m_task.setListedAsLeaving(own != hosts.end() && own->isLeaving);
}

} // namespace Verbena::Agent
