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

/// \brief Receives the messages of routers that are not requests.
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /// \brief Handles that a router which was not known has connected.
    virtual void peerJoined(const std::string &peer) = 0;
    virtual void receiveFromPeer(const std::string &peer, const verbena::wire::Envelope &message) = 0;
};

/// \brief The agent process, between routers and its backend server.
class AgentTask : public Wire::MessageReceiver, public RouterSender, public SettingsTree::PeerChannel
{
public:
    /// \brief Starts to listen. Errors: Unavailable, if the endpoint cannot be bound; InvalidArgument and NotFound for key files.
    static Core::Result<std::unique_ptr<AgentTask>> create(EventLoop::Loop &loop, const AgentSettings &settings, Observe::Metrics &metrics);

    std::string endpoint() const;

    /// \brief Applies the settings in force in \a view: shares, and whether this backend server is drained. \a changed is called after each change.
    void setSettingsView(std::shared_ptr<Settings::SettingsView> view, std::function<void()> changed = {});

    /// \brief Sets the receiver of messages that are not requests; null for none.
    void setPeerListener(PeerListener *listener);

    /// \brief Sets the function that is called with each report of the backend server.
    void setReportCallback(std::function<void(const BackendReport &)> callback);

    /// \brief Records whether this host is leaving according to the platform's host list.
    void setListedAsLeaving(bool isLeaving);

    /// \brief Accepts no new requests; \a finished is called when the running ones have ended and routers have had time to learn of it.
    void leave(std::function<void()> finished);

    /// \brief Reads the keys of the routers again; after an error, the previous ones stay in use.
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
    void giveUpRuns();

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
    bool m_isDrained = false; ///< Whether an operator has ordered this backend server to drain.
    bool m_isListedAsLeaving = false; ///< Whether this host is leaving according to the platform's host list.
    bool m_isEnding = false; ///< Whether the process was asked to end.
    std::function<void()> m_finished;
    EventLoop::Timer m_beatTimer;
    EventLoop::Timer m_finishTimer;
    EventLoop::Timer m_giveUpTimer; ///< Runs while the process waits for its last runs to end.
};

} // namespace Verbena::Agent
