#pragma once

#include "agentsettings.h"
#include "knownrouters.h"
#include "runmanager.h"

#include <settings/inforcesettings.h>
#include <settingstree/peerchannel.h>
#include <wire/messagesocket.h>
#include <wire/peerauthenticator.h>

#include <functional>
#include <memory>

namespace Verbena::Agent {

/// \brief Takes what routers send besides requests.
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /// \brief A router that was not known can be reached now.
    virtual void peerJoined(const std::string &peer) = 0;
    virtual void receiveFromPeer(const std::string &peer, const verbena::wire::Envelope &message) = 0;
};

/// \brief The agent process: routers on one side, its backend server on the other.
class AgentTask : public Wire::MessageReceiver, public RouterSender, public SettingsTree::PeerChannel
{
public:
    /// \brief Starts to listen. Errors: Unavailable, if the endpoint cannot be bound; InvalidArgument and NotFound for key files.
    static Core::Result<std::unique_ptr<AgentTask>> create(EventLoop::Loop &loop, const AgentSettings &settings, Observe::Metrics &metrics);

    std::string endpoint() const;

    /// \brief Follows what \a view has in force: shares, and whether this backend server is drained. \a changed is called after that.
    void setSettingsView(std::shared_ptr<Settings::SettingsView> view, std::function<void()> changed = {});

    /// \brief Hands \a listener what routers send besides requests; null for nobody.
    void setPeerListener(PeerListener *listener);

    /// \brief Called with whatever the backend server says of itself.
    void setReportCallback(std::function<void(const BackendReport &)> callback);

    /// \brief Notes whether the platform's host list says that this host is leaving.
    void setListedAsLeaving(bool isLeaving);

    /// \brief Takes no new work; \a finished is called once the work at hand is done and routers have had time to learn.
    void leave(std::function<void()> finished);

    /// \brief Reads the keys of the routers again; after an error those read before stay in use.
    void reloadKeys();

    const AgentSettings &settings() const;
    const RunManager &runs() const;
    BackendAdapter &backend();
    std::size_t routerCount() const;
    std::uint64_t refusedPeerCount() const;
    std::uint64_t incarnation() const;

    void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) override;
    void receiveInvalidMessage(const std::string &peer) override;
    void connectionChanged(Wire::ConnectionChange change, const std::string &address) override;
    Core::Result<void> sendToRouter(const std::string &peer, const verbena::wire::Envelope &message) override;

    const std::vector<std::string> &peers() const override;
    Core::Result<void> sendToPeer(const std::string &peer, const verbena::wire::Envelope &message) override;

private:
    AgentTask(EventLoop::Loop &loop, const AgentSettings &settings, Observe::Metrics &metrics);
    Core::Result<void> openSocket();
    Core::Result<void> openBackend();
    void receiveDispatch(const std::string &peer, const verbena::wire::Dispatch &dispatch);
    void answerProbe(const std::string &peer, const verbena::wire::Probe &probe);
    void sendWelcome(const std::string &peer);
    void beat();
    void applySettings();
    void updateLeaving();
    void checkFinished();

    EventLoop::Loop &m_loop;
    AgentSettings m_settings;
    Observe::Metrics &m_metrics;
    std::uint64_t m_incarnation;
    Wire::MessageContext m_context;
    std::unique_ptr<Wire::PeerAuthenticator> m_authenticator;
    std::unique_ptr<Wire::MessageSocket> m_socket;
    RunManager m_runs;
    KnownRouters m_routers;
    std::shared_ptr<Settings::SettingsView> m_view;
    std::function<void()> m_settingsChanged;
    PeerListener *m_peerListener = nullptr;
    bool m_isDrained = false; ///< By an operator's order.
    bool m_isListedAsLeaving = false; ///< By the platform's host list.
    bool m_isEnding = false; ///< The process has been asked to end.
    std::function<void()> m_finished;
    EventLoop::Timer m_beatTimer;
    EventLoop::Timer m_finishTimer;
};

} // namespace Verbena::Agent
