#include "zmqwatcher.h"

#include <zmq.h>

namespace Verbena::Wire {

namespace {

// Maximum number of messages that are processed for one socket before others are served.
constexpr int maximumBatch = 256;

int descriptorOf(void *socket)
{
    int descriptor = -1;
    std::size_t size = sizeof descriptor;
    zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size);
    return descriptor;
}

} // namespace

ZmqWatcher::ZmqWatcher(EventLoop::Loop &loop, void *socket, std::function<bool()> receiveOne)
    : m_receiveOne(std::move(receiveOne))
    , m_receive(loop, [this] { receiveAll(); })
    , m_watcher(loop, descriptorOf(socket), [this](int) { receiveAll(); })
{
    m_watcher.start(EV_READ);
    m_receive.schedule();
}

void ZmqWatcher::schedule()
{
    m_receive.schedule();
}

void ZmqWatcher::receiveAll()
{
    // ZMQ_FD is edge-triggered: messages left after a batch cause no further event, so the next batch is scheduled here.
    for (int count = 0; count < maximumBatch; ++count) {
        if (!m_receiveOne()) {
            return;
        }
    }
    m_receive.schedule();
}

std::vector<std::string> receiveParts(void *socket)
{
    std::vector<std::string> parts;
    zmq_msg_t part;
    zmq_msg_init(&part);
    do {
        if (zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) < 0) {
            break;
        }
        parts.emplace_back(static_cast<const char *>(zmq_msg_data(&part)), zmq_msg_size(&part));
    } while (zmq_msg_more(&part) != 0);
    zmq_msg_close(&part);
    return parts;
}

} // namespace Verbena::Wire
