#pragma once

#include <eventloop/loop.h>
#include <support/childprocess.h>
#include <support/temporaryfolder.h>
#include <support/testhttp.h>
#include <wire/curvekeys.h>
#include <wire/messagesocket.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief What a router has received for one attempt.
struct ReceivedAttempt
{
    bool isAdmitted = false;
    std::optional<verbena::wire::Refused> refused;
    std::optional<verbena::wire::Ended> ended;
    std::string text;
    std::uint32_t tokens = 0;
    std::uint64_t frames = 0;
    bool isInOrder = true; ///< Sequence numbers had no gap, and nothing followed the end.

    bool isOver() const
    {
        return refused || ended;
    }
};

/// \brief A router as an agent sees it, in the hands of a test.
class FakeRouter : public Wire::MessageReceiver
{
public:
    FakeRouter(EventLoop::Loop &loop, const std::string &endpoint, const Wire::SocketSecurity &security = {});

    void send(const verbena::wire::Envelope &message);
    void sendHello();
    void dispatch(const verbena::wire::Dispatch &dispatch);
    void cancel(const std::string &request, std::uint32_t attempt = 1);
    void grant(const std::string &request, std::uint32_t frames);

    /// \brief What has come for an attempt so far.
    ReceivedAttempt &attempt(const std::string &request, std::uint32_t attempt = 1);

    std::optional<verbena::wire::Welcome> welcome; ///< The latest one.
    std::optional<verbena::wire::ProbeReply> probeReply;

    void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) override;
    void receiveInvalidMessage(const std::string &peer) override;

private:
    void receiveFrame(const verbena::wire::Frame &frame);

    Wire::MessageContext m_context;
    std::unique_ptr<Wire::MessageSocket> m_socket;
    std::map<std::string, ReceivedAttempt> m_attempts;
};

/// \brief An agent with its backend server as real processes, and the loop that fake routers run on.
class AgentHarness
{
public:
    /// \brief Starts the stand-in \a role ("engine" or "service") with \a arguments and an agent with further \a settings.
    AgentHarness(const std::string &role, const std::vector<std::string> &arguments, const std::string &settings = {});

    /// \brief Runs the loop until \a isDone holds; false if it does not hold within the patience of a test.
    bool runUntil(const std::function<bool()> &isDone);

    /// \brief A router that the agent has welcomed.
    std::unique_ptr<FakeRouter> connect(const Wire::SocketSecurity &security = {});

    void startBackend(const std::string &port = "0");
    void startAgent();

    /// \brief Changes the faults of the stand-in.
    void setFaults(const std::string &json) const;

    nlohmann::json status() const;
    std::string metrics() const;

    /// \brief The entries of the stand-in's `GET /runs`.
    nlohmann::json runs() const;

    /// \brief The runs of \a request.
    std::size_t runCount(const std::string &request) const;

    std::string backendPort() const;

    /// \brief Start of every URL at the backend server.
    std::string backendUrl() const;

    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> backend;
    std::unique_ptr<ChildProcess> agent;
    std::unique_ptr<EventLoop::Loop> loop;
    std::string endpoint;

private:
    std::string m_role;
    std::vector<std::string> m_arguments;
    std::string m_settings;
    std::string m_backendAddress;
    std::string m_statusAddress;
};

/// \brief A completion of \a tokens tokens for \a prompt.
verbena::wire::Dispatch completion(const std::string &request, const std::string &prompt, std::uint32_t tokens);

} // namespace Verbena::Test
