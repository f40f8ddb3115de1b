#pragma once

#include "childprocess.h"
#include "temporaryfolder.h"
#include "testhttp.h"

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief How many processes of each kind a deployment has, and what they are told beyond the usual.
struct DeploymentOptions
{
    std::size_t routers = 1;
    std::size_t engines = 1; ///< Each with its agent; they serve the model "analyst".
    std::size_t services = 0; ///< Each with its agent; they serve the plain service "register".
    bool hasPlatform = false; ///< Settings and claims go through a platform stand-in, not through a file.
    std::vector<std::string> engineArguments; ///< Further arguments for each engine stand-in.
    std::vector<std::string> serviceArguments; ///< Further arguments for each service stand-in.
    std::string routerSettings; ///< Further YAML lines of each router's settings.
    std::string agentSettings; ///< Further YAML lines of each agent's settings.
};

/// \brief A whole deployment as real processes on loopback, on ports chosen by the system.
///
/// The caller's key "secret" stands for team "dams" of organisation "kessick", "rosters" for team "kochi" of "kalari".
class TestDeployment
{
public:
    /// \brief One backend server and its agent.
    struct Backend
    {
        std::string name;
        std::string address; ///< Of the backend server, for instance "127.0.0.1:8000".
        std::string endpoint; ///< Of its agent.
        std::string statusAddress; ///< Where its agent serves its status, for instance "127.0.0.1:8001".
        std::unique_ptr<ChildProcess> server;
        std::unique_ptr<ChildProcess> agent;
    };

    /// \brief Starts everything and waits until each process listens.
    explicit TestDeployment(DeploymentOptions options = {});

    Backend &engine(std::size_t index = 0);
    Backend &service(std::size_t index = 0);
    ChildProcess &router(std::size_t index = 0);

    ChildProcess &platform();

    /// \brief Where the platform listens, for instance "http://127.0.0.1:8080".
    const std::string &platformUrl() const;

    /// \brief Start of every URL at a router, for instance "http://127.0.0.1:9000".
    std::string routerUrl(std::size_t index = 0) const;

    /// \brief Posts \a body to \a path at a router with the caller's key "secret" and further header lines.
    TestAnswer post(const std::string &path, const std::string &body, const std::vector<std::string> &fields = {}, std::size_t router = 0) const;

    /// \brief Kills a backend server and starts it again at its old address.
    void restartServer(Backend &backend);

    /// \brief Kills an agent and starts it again at its old address.
    void restartAgent(Backend &backend);

    /// \brief Starts a router in place of one that has ended; it listens on another port.
    void restartRouter(std::size_t index);

private:
    struct Router
    {
        std::unique_ptr<ChildProcess> process;
        std::string address;
    };

    void startServer(Backend &backend, const std::string &port);
    void startAgent(Backend &backend);
    void startRouter(std::size_t index);
    std::string routerFile(std::size_t index) const;
    std::string treeFile() const;
    void startPlatform();
    void applyTree() const;
    std::string platformLine() const;
    void waitUntilReady(std::size_t index) const;

    DeploymentOptions m_options;
    TemporaryFolder m_folder;
    std::unique_ptr<ChildProcess> m_platform;
    std::string m_platformUrl; ///< Empty if there is none.
    std::vector<Backend> m_engines;
    std::vector<Backend> m_services;
    std::vector<Router> m_routers;
};

} // namespace Verbena::Test
