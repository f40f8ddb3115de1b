#include "messagesocket.h"

#include <google/protobuf/arena.h>
#include <zmq.h>

#include <array>
#include <cerrno>
#include <chrono>

namespace Verbena::Wire {

namespace {

constexpr std::size_t arenaBlockSize = 1024;
// Number of messages that ZeroMQ queues for one peer before it refuses to send more.
constexpr int highWaterMark = 10000;
// Several times the settings tree of the target, the longest message; ZeroMQ closes the connection of a peer that announces a longer one.
constexpr std::int64_t maximumMessageBytes = 64 * 1024 * 1024;
constexpr std::chrono::milliseconds reconnectInterval{50};
constexpr std::chrono::milliseconds maximumReconnectInterval{1000};
// Time for messages sent right before the process ends to reach their peers.
constexpr std::chrono::milliseconds linger{500};
// Time after which a refused peer, which gets no reply, tries again.
constexpr std::chrono::milliseconds handshakeTimeout{2000};
// Room in the kernel for what waits for one peer, and for what has come from it; the kernel takes up to twice as much memory for each.
constexpr int kernelBufferBytes = 128 * 1024;
constexpr std::chrono::milliseconds heartbeatInterval{1000};
constexpr std::chrono::milliseconds heartbeatTimeout{3000};

void setOption(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof value);
}

void setOption(void *socket, int option, std::chrono::milliseconds value)
{
    setOption(socket, option, static_cast<int>(value.count()));
}

bool applySecurity(void *socket, const SocketSecurity &security, bool isServer)
{
    if (!security.isEnabled()) {
        return true;
    }
    bool isValid = zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, security.ownSecretKey.c_str(), security.ownSecretKey.size() + 1) == 0;
    isValid = isValid && zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, security.ownPublicKey.c_str(), security.ownPublicKey.size() + 1) == 0;
    if (isServer) {
        setOption(socket, ZMQ_CURVE_SERVER, 1);
        return isValid;
    }
    return isValid && zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, security.serverPublicKey.c_str(), security.serverPublicKey.size() + 1) == 0;
}

Core::Error socketError(const std::string &step, const std::string &peer)
{
    const Core::ErrorCode code = zmq_errno() == EAGAIN ? Core::ErrorCode::ResourceExhausted : Core::ErrorCode::Unavailable;
    return Core::Error{code, step, peer, zmq_strerror(zmq_errno())};
}

} // namespace

void MessageReceiver::connectionChanged(ConnectionChange, const std::string &)
{
}

Core::Result<std::unique_ptr<MessageSocket>> MessageSocket::bind(
    EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver)
{
    return open(loop, context, endpoint, security, receiver, true);
}

Core::Result<std::unique_ptr<MessageSocket>> MessageSocket::connect(
    EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver)
{
    return open(loop, context, endpoint, security, receiver, false);
}

Core::Result<std::unique_ptr<MessageSocket>> MessageSocket::open(
    EventLoop::Loop &loop, MessageContext &context, const std::string &endpoint, const SocketSecurity &security, MessageReceiver &receiver, bool isRouter)
{
    void *socket = zmq_socket(context.handle(), isRouter ? ZMQ_ROUTER : ZMQ_DEALER);
    if (socket == nullptr) {
        return socketError("wire.open", endpoint);
    }
    std::unique_ptr<MessageSocket> result(new MessageSocket(socket, receiver, isRouter, endpoint));
    setOption(socket, ZMQ_LINGER, isRouter ? linger : std::chrono::milliseconds(0));
    setOption(socket, ZMQ_SNDHWM, highWaterMark);
    setOption(socket, ZMQ_RCVHWM, highWaterMark);
    setOption(socket, ZMQ_SNDBUF, kernelBufferBytes);
    setOption(socket, ZMQ_RCVBUF, kernelBufferBytes);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &maximumMessageBytes, sizeof maximumMessageBytes);
    setOption(socket, ZMQ_RECONNECT_IVL, reconnectInterval);
    setOption(socket, ZMQ_RECONNECT_IVL_MAX, maximumReconnectInterval);
    setOption(socket, ZMQ_HANDSHAKE_IVL, handshakeTimeout);
    setOption(socket, ZMQ_HEARTBEAT_IVL, heartbeatInterval);
    setOption(socket, ZMQ_HEARTBEAT_TIMEOUT, heartbeatTimeout);
    // Makes sending fail if the peer is not connected, so that the sender knows that the message was not sent.
    setOption(socket, isRouter ? ZMQ_ROUTER_MANDATORY : ZMQ_IMMEDIATE, 1);
    if (!applySecurity(socket, security, isRouter)) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "wire.keys", endpoint, "A CURVE key is not a valid key of 40 characters in Z85 encoding."};
    }
    const int status = isRouter ? zmq_bind(socket, endpoint.c_str()) : zmq_connect(socket, endpoint.c_str());
    if (status != 0) {
        return socketError(isRouter ? "wire.bind" : "wire.connect", endpoint);
    }
    std::array<char, 256> last{};
    std::size_t size = last.size();
    zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, last.data(), &size);
    result->m_endpoint = last.data();
    MessageSocket *self = result.get();
    VERBENA_TRY(monitor, SocketMonitor::create(loop, context, socket, [self](ConnectionChange change, const std::string &address) {
        self->m_receiver.connectionChanged(change, address);
    }));
    result->m_monitor = std::move(monitor);
    result->m_watcher = std::make_unique<ZmqWatcher>(loop, socket, [self] { return self->receiveOne(); });
    return result;
}

MessageSocket::MessageSocket(void *socket, MessageReceiver &receiver, bool isRouter, std::string endpoint)
    : m_socket(socket)
    , m_receiver(receiver)
    , m_isRouter(isRouter)
    , m_endpoint(std::move(endpoint))
{
}

MessageSocket::~MessageSocket()
{
    m_watcher.reset();
    m_monitor.reset();
    zmq_close(m_socket);
}

std::string MessageSocket::endpoint() const
{
    return m_endpoint;
}

Core::Result<void> MessageSocket::send(const std::string &peer, const verbena::wire::Envelope &message)
{
    // ZMQ_FD is edge-triggered and sending can consume an edge, so check for input before the loop blocks.
    m_watcher->schedule();
    const std::size_t size = message.ByteSizeLong();
    zmq_msg_t part;
    zmq_msg_init_size(&part, size);
    message.SerializeWithCachedSizesToArray(static_cast<std::uint8_t *>(zmq_msg_data(&part)));
    if (m_isRouter && zmq_send(m_socket, peer.data(), peer.size(), ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&part);
        return socketError("wire.send", m_endpoint);
    }
    if (zmq_msg_send(&part, m_socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&part);
        return socketError("wire.send", m_endpoint);
    }
    return Core::success();
}

bool MessageSocket::receiveOne()
{
    std::string peer;
    zmq_msg_t part;
    zmq_msg_init(&part);
    bool isFirst = true;
    bool hasMore = true;
    while (hasMore) {
        if (zmq_msg_recv(&part, m_socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&part);
            return false;
        }
        hasMore = zmq_msg_more(&part) != 0;
        if (m_isRouter && isFirst) {
            peer.assign(static_cast<const char *>(zmq_msg_data(&part)), zmq_msg_size(&part));
        }
        isFirst = false;
    }
    // The arena on the stack avoids heap allocations for the small messages of a stream.
    std::array<char, arenaBlockSize> block{};
    google::protobuf::Arena arena(block.data(), block.size());
    auto *message = google::protobuf::Arena::CreateMessage<verbena::wire::Envelope>(&arena);
    const bool isValid = message->ParseFromArray(zmq_msg_data(&part), static_cast<int>(zmq_msg_size(&part)));
    zmq_msg_close(&part);
    if (isValid && message->body_case() != verbena::wire::Envelope::BODY_NOT_SET) {
        m_receiver.receiveMessage(peer, *message);
    } else {
        m_receiver.receiveInvalidMessage(peer);
    }
    return true;
}

} // namespace Verbena::Wire
