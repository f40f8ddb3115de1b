#include "peerauthenticator.h"

#include "messagecontext.h"
#include "wireevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <zmq.h>

#include <array>
#include <cstring>

namespace Verbena::Wire {

namespace {

constexpr const char *zapEndpoint = "inproc://zeromq.zap.01";
constexpr std::size_t binaryKeyLength = 32;
constexpr std::size_t textKeyLength = 40;
// Minimum interval between log entries about refused peers, which retry continuously.
constexpr std::chrono::seconds logInterval{5};

// Indexes of the parts of a ZAP request (ZeroMQ RFC 27).
enum RequestPart { VersionPart, RequestIdPart, DomainPart, AddressPart, IdentityPart, MechanismPart, CredentialPart, PartCount };

std::string keyOf(const std::string &credential)
{
    std::array<char, textKeyLength + 1> text{};
    zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t *>(credential.data()), credential.size());
    return text.data();
}

} // namespace

Core::Result<std::unique_ptr<PeerAuthenticator>> PeerAuthenticator::create(EventLoop::Loop &loop, MessageContext &context)
{
    void *socket = zmq_socket(context.handle(), ZMQ_REP);
    std::unique_ptr<PeerAuthenticator> authenticator(new PeerAuthenticator(loop, socket));
    const int linger = 0;
    zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof linger);
    if (socket == nullptr || zmq_bind(socket, zapEndpoint) != 0) {
        return Core::Error{Core::ErrorCode::Internal, "wire.authenticate", zapEndpoint, zmq_strerror(zmq_errno())};
    }
    PeerAuthenticator *self = authenticator.get();
    authenticator->m_watcher = std::make_unique<ZmqWatcher>(loop, socket, [self] { return self->answerOne(); });
    return authenticator;
}

PeerAuthenticator::PeerAuthenticator(EventLoop::Loop &loop, void *socket)
    : m_loop(loop)
    , m_socket(socket)
{
}

PeerAuthenticator::~PeerAuthenticator()
{
    m_watcher.reset();
    zmq_close(m_socket);
}

void PeerAuthenticator::setAllowedKeys(const std::vector<std::string> &keys)
{
    m_allowedKeys = {keys.begin(), keys.end()};
}

std::uint64_t PeerAuthenticator::refusedCount() const
{
    return m_refusedCount;
}

bool PeerAuthenticator::answerOne()
{
    const std::vector<std::string> request = receiveParts(m_socket);
    if (request.empty()) {
        return false;
    }
    const bool isAccepted = isAllowed(request);
    if (!isAccepted) {
        recordRefusal(request.size() > AddressPart ? request[AddressPart] : "");
    }
    const std::string id = request.size() > RequestIdPart ? request[RequestIdPart] : "";
    // With status 400 the peer would never retry, although its key may be allowed later.
    const std::array<std::string, 6> answer{"1.0", id, isAccepted ? "200" : "300", "", isAccepted ? keyOf(request[CredentialPart]) : "", ""};
    for (std::size_t i = 0; i < answer.size(); ++i) {
        zmq_send(m_socket, answer[i].data(), answer[i].size(), ZMQ_DONTWAIT | (i + 1 < answer.size() ? ZMQ_SNDMORE : 0));
    }
    return true;
}

bool PeerAuthenticator::isAllowed(const std::vector<std::string> &request) const
{
    return request.size() == PartCount && request[VersionPart] == "1.0" && request[MechanismPart] == "CURVE"
        && request[CredentialPart].size() == binaryKeyLength && m_allowedKeys.contains(keyOf(request[CredentialPart]));
}

void PeerAuthenticator::recordRefusal(const std::string &address)
{
    ++m_refusedCount;
    if (m_loop.now() < m_nextLog) {
        return;
    }
    Observe::log(peerRefused, {{"step", "wire.authenticate"}, {"peer", address}, {"count", std::to_string(m_refusedCount - m_loggedCount)}});
    m_loggedCount = m_refusedCount;
    m_nextLog = m_loop.now() + logInterval;
}

} // namespace Verbena::Wire
