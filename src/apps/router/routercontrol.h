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

/// \brief The router's ties to the platform: the settings tree, which it also hears from agents and passes on to them, and claims.
class RouterControl : public SettingsTree::PeerChannel, public PeerListener
{
public:
    /// \brief Starts at once. Errors: Internal.
    static Core::Result<std::unique_ptr<RouterControl>> create(EventLoop::Loop &loop, const RouterSettings &settings);

    /// \brief What \a task looks up here. The control has to live longer than the task.
    RouterServices services() const;

    /// \brief Uses the connections of \a task from now on.
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
