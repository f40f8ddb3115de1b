#pragma once

#include "zmqwatcher.h"

#include <core/result.h>
#include <core/time.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Wire {

class MessageContext;

/// \brief Decides which peers may connect to the encrypted sockets of a process, by their CURVE keys (ZeroMQ's ZAP).
///
/// It has to exist before the first socket is bound and until the last one is closed.
class PeerAuthenticator
{
public:
    /// \brief Starts to answer, with nobody let in. Errors: Internal, if the context has one already.
    static Core::Result<std::unique_ptr<PeerAuthenticator>> create(EventLoop::Loop &loop, MessageContext &context);
    ~PeerAuthenticator();

    PeerAuthenticator(const PeerAuthenticator &) = delete;
    PeerAuthenticator &operator=(const PeerAuthenticator &) = delete;

    /// \brief Sets the public keys that are let in, in Z85 form. Connections that exist already go on.
    void setAllowedKeys(const std::vector<std::string> &keys);

    /// \brief Connections refused so far.
    std::uint64_t refusedCount() const;

private:
    PeerAuthenticator(EventLoop::Loop &loop, void *socket);
    bool answerOne();
    bool isAllowed(const std::vector<std::string> &request) const;
    void noteRefusal(const std::string &address);

    EventLoop::Loop &m_loop;
    void *m_socket;
    std::set<std::string, std::less<>> m_allowedKeys;
    std::uint64_t m_refusedCount = 0;
    std::uint64_t m_loggedCount = 0;
    Core::TimePoint m_nextLog;
    std::unique_ptr<ZmqWatcher> m_watcher;
};

} // namespace Verbena::Wire
