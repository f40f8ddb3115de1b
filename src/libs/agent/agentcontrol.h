#pragma once

#include "agenttask.h"
#include "modelordertask.h"

#include <control/budgetedtable.h>
#include <control/hostlisttask.h>
#include <settingstree/settingstask.h>
#include <store/httpplatform.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Agent {

/// \brief Connects the agent to the platform: follows the settings tree and the host list, holds leases and sends orders to the engine.
class AgentControl : public PeerListener
{
public:
    /// \brief Creates and starts the control; \a task must outlive it. Errors: Internal.
    static Core::Result<std::unique_ptr<AgentControl>> create(EventLoop::Loop &loop, const std::string &platformUrl, AgentTask &task);

    ~AgentControl() override;

    SettingsTree::SettingsStatus settingsStatus() const;
    const ModelOrderTask &orders() const;

    void peerJoined(const std::string &peer) override;
    void receiveFromPeer(const std::string &peer, const verbena::wire::Envelope &message) override;

private:
    AgentControl(EventLoop::Loop &loop, AgentTask &task, std::unique_ptr<Store::HttpPlatform> platform, std::uint64_t seed);
    void applySettings();
    void applyHosts();

    AgentTask &m_task;
    std::unique_ptr<Store::HttpPlatform> m_platform;
    Control::BudgetedTable m_table;
    ModelOrderTask m_orders;
    std::shared_ptr<SettingsTree::SettingsTask> m_settings;
    std::unique_ptr<Control::HostListTask> m_hosts;
};

} // namespace Verbena::Agent
