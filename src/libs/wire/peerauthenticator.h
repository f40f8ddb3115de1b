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

/// \brief Authenticator (ZAP handler of ZeroMQ) that decides by CURVE keys which peers may connect to the encrypted sockets of a process.
///
/// It must be created before the first socket is bound and destroyed after the last one is closed.
class PeerAuthenticator
{
public:
    /// \brief Creates an authenticator that refuses all peers until keys are set. Errors: Internal, if the context already has one.
    static Core::Result<std::unique_ptr<PeerAuthenticator>> create(EventLoop::Loop &loop, MessageContext &context);
    ~PeerAuthenticator();

    PeerAuthenticator(const PeerAuthenticator &) = delete;
    PeerAuthenticator &operator=(const PeerAuthenticator &) = delete;

    /// \brief Sets the allowed public keys, in Z85 encoding. Existing connections are kept.
    void setAllowedKeys(const std::vector<std::string> &keys);

    /// \brief Returns the number of connections refused so far.
    std::uint64_t refusedCount() const;

private:
    PeerAuthenticator(EventLoop::Loop &loop, void *socket);
    bool answerOne();
    bool isAllowed(const std::vector<std::string> &request) const;
    void recordRefusal(const std::string &address);

    EventLoop::Loop &m_loop;
    void *m_socket;
    std::set<std::string, std::less<>> m_allowedKeys;
    std::uint64_t m_refusedCount = 0;
    std::uint64_t m_loggedCount = 0;
    Core::TimePoint m_nextLog;
    std::unique_ptr<ZmqWatcher> m_watcher;
};

} // namespace Verbena::Wire
