#pragma once

#include "agenttask.h"
#include "modelordertask.h"

#include <control/budgetedtable.h>
#include <control/hostlistpoller.h>
#include <platform/httpplatform.h>
#include <settingstree/settingstask.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Agent {

/// \brief The agent's ties to the platform: the settings tree, the host list, leases and orders to the engine.
class AgentControl
{
public:
    /// \brief Starts at once; \a task has to live longer. Errors: Internal.
    static Core::Result<std::unique_ptr<AgentControl>> create(EventLoop::Loop &loop, const std::string &platformUrl, AgentTask &task);

    SettingsTree::SettingsStatus settingsStatus() const;
    const ModelOrderTask &orders() const;

private:
    AgentControl(EventLoop::Loop &loop, AgentTask &task, std::unique_ptr<Platform::HttpPlatform> platform, std::uint64_t seed);
    void applySettings();
    void receiveHosts(const std::vector<Platform::HostEntry> &hosts);

    EventLoop::Loop &m_loop;
    AgentTask &m_task;
    std::unique_ptr<Platform::HttpPlatform> m_platform;
    Control::BudgetedTable m_table;
    ModelOrderTask m_orders;
    std::shared_ptr<SettingsTree::SettingsTask> m_settings;
    std::unique_ptr<Control::HostListPoller> m_hosts;
};

} // namespace Verbena::Agent
