#include "socketmonitor.h"

#include "messagecontext.h"

#include <zmq.h>

#include <atomic>
#include <cstring>

namespace Verbena::Wire {

namespace {

constexpr int failedEvents = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
constexpr int watchedEvents = ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED | failedEvents;

std::string nextEndpoint()
{
    static std::atomic<unsigned> counter{0};
    return "inproc://verbena.monitor." + std::to_string(counter.fetch_add(1));
}

} // namespace

Core::Result<std::unique_ptr<SocketMonitor>> SocketMonitor::create(EventLoop::Loop &loop, MessageContext &context, void *socket, Callback callback)
{
    const std::string endpoint = nextEndpoint();
    void *pair = zmq_socket(context.handle(), ZMQ_PAIR);
    std::unique_ptr<SocketMonitor> monitor(new SocketMonitor(socket, pair, std::move(callback)));
    if (pair == nullptr || zmq_socket_monitor(socket, endpoint.c_str(), watchedEvents) != 0 || zmq_connect(pair, endpoint.c_str()) != 0) {
        return Core::Error{Core::ErrorCode::Internal, "wire.monitor", endpoint, zmq_strerror(zmq_errno())};
    }
    SocketMonitor *self = monitor.get();
    monitor->m_watcher = std::make_unique<ZmqWatcher>(loop, pair, [self] { return self->receiveOne(); });
    return monitor;
}

SocketMonitor::SocketMonitor(void *watched, void *socket, Callback callback)
    : m_watched(watched)
    , m_socket(socket)
    , m_callback(std::move(callback))
{
}

SocketMonitor::~SocketMonitor()
{
    m_watcher.reset();
    zmq_socket_monitor(m_watched, nullptr, 0);
    zmq_close(m_socket);
}

bool SocketMonitor::receiveOne()
{
    // The first part contains the event number (16 bits) and a value (32 bits), the second part the address.
    const std::vector<std::string> parts = receiveParts(m_socket);
    if (parts.size() < 2 || parts[0].size() < sizeof(std::uint16_t)) {
        return !parts.empty();
    }
    std::uint16_t event = 0;
    std::memcpy(&event, parts[0].data(), sizeof event);
    if (event == ZMQ_EVENT_HANDSHAKE_SUCCEEDED) {
        m_callback(ConnectionChange::Ready, parts[1]);
    } else if (event == ZMQ_EVENT_DISCONNECTED) {
        m_callback(ConnectionChange::Lost, parts[1]);
    } else if ((event & failedEvents) != 0) {
        m_callback(ConnectionChange::Failed, parts[1]);
    }
    return true;
}

} // namespace Verbena::Wire
