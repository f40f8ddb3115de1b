#pragma once

#include <control/budgetedtable.h>
#include <control/hostlisttask.h>
#include <router/routertask.h>
#include <settingstree/settingstask.h>
#include <store/httpplatform.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Router {

/// \brief Connects the router to the platform: follows the settings tree, also through gossip with agents, follows the host list and provides claims.
class RouterControl : public SettingsTree::PeerChannel, public PeerListener
{
public:
    /// \brief Creates the control and starts following the settings. Errors: Internal.
    static Core::Result<std::unique_ptr<RouterControl>> create(EventLoop::Loop &loop, const RouterSettings &settings);

    /// \brief Returns the services for a RouterTask. The control must outlive the task.
    RouterServices services() const;

    /// \brief Starts using the connections of \a task for gossip.
    void attach(RouterTask &task);

    const std::vector<std::string> &peers() const override;
    Core::Result<void> sendToPeer(const std::string &peer, const verbena::wire::Envelope &message) override;
    void peerReady(Decisions::BackendServerId id) override;
    void peerLost(Decisions::BackendServerId id) override;
    void receiveFromPeer(Decisions::BackendServerId id, const verbena::wire::Envelope &message) override;
    std::string settingsJson() const override;

private:
    RouterControl(EventLoop::Loop &loop, const RouterSettings &settings, std::unique_ptr<Store::HttpPlatform> platform, std::uint64_t seed);
    void connectToPeers();
    void applyHostList();

    EventLoop::Loop &m_loop;
    std::vector<SettingsPeer> m_bootstrapPeers;
    std::unique_ptr<Store::HttpPlatform> m_platform;
    Control::BudgetedTable m_table;
    Decisions::RandomSource m_random;
    std::vector<std::string> m_peers;
    RouterTask *m_task = nullptr;
    std::shared_ptr<SettingsTree::SettingsTask> m_settings;
    std::shared_ptr<ClaimService> m_claims;
    std::unique_ptr<Control::HostListTask> m_hosts;
    EventLoop::Timer m_peerTimer;
};

} // namespace Verbena::Router
