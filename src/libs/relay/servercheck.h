#pragma once

#include "backendcall.h"
#include "connectcheck.h"
#include "relayprotocol.h"

#include <core/time.h>
#include <decisions/relay/keptconnections.h>
#include <eventloop/timer.h>

#include <functional>
#include <memory>
#include <string>

namespace Verbena::Relay {

/// \brief Checks whether the backend server that closed a connection still runs: whether a process listens at its address, and whether that is the same one.
///
/// Another server may have been started there while this process or the link to the server stood still.
class ServerCheck : private CallObserver
{
public:
    enum class Finding {
        Running, ///< The server answers, or is too busy to answer: another one would have said so at once.
        Ended, ///< No process listens there, or another server does.
        Unknown, ///< There was no answer before the deadline.
    };

    using Callback = std::function<void(Finding finding)>;

    /// \brief Checks \a server; without a \a healthPath it cannot be asked who it is. Calls \a done once, after this has returned. \a done may destroy the
    /// check, and \a protocol must live as long.
    ServerCheck(EventLoop::Loop &loop, const RelayProtocol &protocol, const Decisions::ServerInstance &server, const std::string &healthPath, Callback done);
    ~ServerCheck() override;

    ServerCheck(const ServerCheck &) = delete;
    ServerCheck &operator=(const ServerCheck &) = delete;

private:
    void handleConnection(ConnectCheck::Finding finding);
    void askWho();
    void finish(Finding finding);
    void receiveAnswerHead(const Http::MessageHead &head) override;
    void receiveAnswerBody(std::string_view data) override;
    void receiveAnswerEnd() override;
    void callFailed(Decisions::CallFailure failure, std::string_view reason) override;

    EventLoop::Loop &m_loop;
    const RelayProtocol &m_protocol;
    Decisions::ServerInstance m_server;
    Http::Endpoint m_endpoint; ///< Of the server.
    std::string m_healthPath;
    Callback m_done;
    Finding m_finding = Finding::Unknown;
    EventLoop::Timer m_timer; ///< Reports the finding, when it is known or at the deadline of the question.
    std::unique_ptr<ConnectCheck> m_connection;
    std::unique_ptr<BackendCall> m_question;
    bool m_isAnswered = false; ///< Whether the question has got an answer.
};

} // namespace Verbena::Relay
